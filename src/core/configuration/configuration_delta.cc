#include "coltsfootfork/core/configuration/configuration_delta.h"

#include <utility>

#include "coltsfootfork/core/configuration/document_tree.h"
#include "coltsfootfork/core/configuration/parse_configuration.h"
#include "coltsfootfork/core/configuration/sha256.h"

namespace coltsfootfork {

std::optional<std::string> MakeDelta(std::string_view before_text,
                                     std::string_view after_text) {
  const auto before = DocumentTree::Read(before_text);
  const auto after = DocumentTree::Read(after_text);
  if (!before.has_value() || !after.has_value()) return std::nullopt;
  return before->DeltaTo(*after);
}

std::optional<std::string> ApplyDelta(std::string_view before_text,
                                      std::string_view patch_text,
                                      std::string_view digest) {
  auto tree = DocumentTree::Read(before_text);
  if (!tree.has_value() || !tree->Patch(patch_text)) return std::nullopt;
  std::string text = tree->ToText();
  if (text.size() > kMaxDocumentBytes || Sha256Hex(text) != digest) {
    return std::nullopt;
  }
  return text;
}

}  // namespace coltsfootfork
