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

// An operators' document as a tree that takes patches in place, in a time that
// grows with the patch and not with the document.
class DocumentTree {
 public:
  DocumentTree();
  DocumentTree(const DocumentTree& other);
  DocumentTree(DocumentTree&& other) noexcept;
  DocumentTree& operator=(const DocumentTree& other);
  DocumentTree& operator=(DocumentTree&& other) noexcept;
  ~DocumentTree();

  // Nothing where the text has no canonical form.
  static std::optional<DocumentTree> Read(std::string_view json_text);

  // Applies a JSON patch of DeltaTo. False, and nothing changed, where the
  // patch is damaged or does not fit.
  bool Patch(std::string_view patch_text);

  // The JSON patch that leads to another document.
  std::string DeltaTo(const DocumentTree& other) const;

  // The document in canonical form.
  std::string ToText() const;

  // The document in checked and typed form; see ParseConfiguration.
  std::optional<Configuration> ToConfiguration(Findings& findings) const;

  // A whole number that is not negative, by its JSON pointer.
  std::optional<std::int64_t> NonNegativeIntegerAt(const char* pointer) const;

 private:
  std::unique_ptr<nlohmann::json> keyed_;
};

}  // namespace coltsfootfork
