#include "coltsfootfork/core/configuration/canonical_form.h"

#include <utility>

#include "keyed_document.h"

namespace coltsfootfork {

std::optional<std::string> CanonicalForm(std::string_view json_text) {
  auto keyed = ReadKeyed(json_text);
  if (!keyed.has_value()) return std::nullopt;
  return FromKeyed(std::move(*keyed)).dump();
}

}  // namespace coltsfootfork
