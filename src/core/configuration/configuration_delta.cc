#include "coltsfootfork/core/configuration/configuration_delta.h"

#include <algorithm>
#include <utility>

#include "bounded_findings.h"
#include "coltsfootfork/core/configuration/parse_configuration.h"
#include "coltsfootfork/core/configuration/sha256.h"
#include "json_text.h"
#include "keyed_document.h"

namespace coltsfootfork {
namespace {

using Json = nlohmann::json;

// MakeDelta writes no other operations. "copy" in particular could blow up a
// document with a short patch.
bool IsOwnOperation(const Json& operation) {
  if (!operation.is_object()) return false;
  const auto name = operation.find("op");
  return name != operation.end() &&
         (*name == "add" || *name == "remove" || *name == "replace");
}

std::optional<Json> ReadPatch(std::string_view text) {
  Findings findings;
  BoundedFindings bounded(findings);
  auto patch = ReadJsonText(text, bounded);
  if (!patch.has_value() || !patch->is_array()) return std::nullopt;
  if (!std::all_of(patch->begin(), patch->end(), IsOwnOperation)) {
    return std::nullopt;
  }
  return patch;
}

// The library reports a patch that does not fit by throwing.
std::optional<Json> Patched(const Json& document, const Json& patch) {
  try {
    return document.patch(patch);
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::optional<std::string> MakeDelta(std::string_view before_text,
                                     std::string_view after_text) {
  const auto before = ReadKeyed(before_text);
  const auto after = ReadKeyed(after_text);
  if (!before.has_value() || !after.has_value()) return std::nullopt;
  return Json::diff(*before, *after).dump();
}

std::optional<std::string> ApplyDelta(std::string_view before_text,
                                      std::string_view patch_text,
                                      std::string_view digest) {
  const auto before = ReadKeyed(before_text);
  const auto patch = ReadPatch(patch_text);
  if (!before.has_value() || !patch.has_value()) return std::nullopt;
  auto after = Patched(*before, *patch);
  if (!after.has_value()) return std::nullopt;
  std::string text = FromKeyed(std::move(*after)).dump();
  if (text.size() > kMaxDocumentBytes || Sha256Hex(text) != digest) {
    return std::nullopt;
  }
  return text;
}

}  // namespace coltsfootfork
