#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "coltsfootfork/core/configuration/configuration.h"
#include "coltsfootfork/core/types/finding.h"

namespace coltsfootfork {

// An operators' document as a tree. Patches are applied in place, in time
// proportional to the patch rather than to the document.
class DocumentTree {
 public:
  DocumentTree();
  DocumentTree(const DocumentTree& other);
  DocumentTree(DocumentTree&& other) noexcept;
  DocumentTree& operator=(const DocumentTree& other);
  DocumentTree& operator=(DocumentTree&& other) noexcept;
  ~DocumentTree();

  // Returns std::nullopt if the text has no canonical form.
  static std::optional<DocumentTree> Read(std::string_view json_text);

  // Applies a JSON patch of DeltaTo. Returns false and leaves the tree
  // unchanged if the patch is corrupt or doesn't apply.
  bool Patch(std::string_view patch_text);

  // Returns the JSON patch from this document to another.
  std::string DeltaTo(const DocumentTree& other) const;

  // The document in canonical form.
  std::string ToText() const;

  // Returns the validated, typed form of the document; see ParseConfiguration.
  std::optional<Configuration> ToConfiguration(Findings& findings) const;

  // Returns the non-negative integer at a JSON pointer, or std::nullopt if
  // there is none.
  std::optional<std::int64_t> NonNegativeIntegerAt(const char* pointer) const;

 private:
  std::unique_ptr<nlohmann::json> keyed_;
};

}  // namespace coltsfootfork
