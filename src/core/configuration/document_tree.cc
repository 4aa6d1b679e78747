#include "coltsfootfork/core/configuration/document_tree.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "bounded_findings.h"
#include "document_check.h"
#include "json_text.h"
#include "keyed_document.h"

namespace coltsfootfork {
namespace {

using Json = nlohmann::json;

// Other operations are never written. "copy" in particular could blow up a
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
  for (const Json& operation : *patch) {
    if (!IsOwnOperation(operation)) return std::nullopt;
  }
  return patch;
}

// The place that an operation is about. "-" is the end of a list.
Json::json_pointer PlaceOf(const Json& operation, const Json& document) {
  Json::json_pointer place(operation.at("path").get<std::string>());
  if (place.empty() || place.back() != "-") return place;
  const Json::json_pointer list = place.parent_pointer();
  if (!document.at(list).is_array()) return place;
  return list / document.at(list).size();
}

// The operation that takes another one back on the same document.
Json InverseOf(const Json& operation, const Json& document) {
  const Json::json_pointer place = PlaceOf(operation, document);
  const bool inserts =
      operation.at("op") == "add" &&
      (!document.contains(place) ||
       (!place.empty() && document.at(place.parent_pointer()).is_array()));
  if (inserts) return {{"op", "remove"}, {"path", place.to_string()}};
  const bool removes = operation.at("op") == "remove";
  return {{"op", removes ? "add" : "replace"},
          {"path", place.to_string()},
          {"value", document.at(place)}};
}

void ApplyOne(Json& document, const Json& operation) {
  document.patch_inplace(Json::array({operation}));
}

}  // namespace

DocumentTree::DocumentTree() : keyed_(std::make_unique<Json>(Json::object())) {}
DocumentTree::DocumentTree(const DocumentTree& other)
    : keyed_(std::make_unique<Json>(*other.keyed_)) {}
DocumentTree::DocumentTree(DocumentTree&& other) noexcept = default;
DocumentTree& DocumentTree::operator=(const DocumentTree& other) {
  if (this != &other) *keyed_ = *other.keyed_;
  return *this;
}
DocumentTree& DocumentTree::operator=(DocumentTree&& other) noexcept = default;
DocumentTree::~DocumentTree() = default;

std::optional<DocumentTree> DocumentTree::Read(std::string_view json_text) {
  auto keyed = ReadKeyed(json_text);
  if (!keyed.has_value()) return std::nullopt;
  DocumentTree tree;
  *tree.keyed_ = std::move(*keyed);
  return tree;
}

bool DocumentTree::Patch(std::string_view patch_text) {
  const auto patch = ReadPatch(patch_text);
  if (!patch.has_value()) return false;
  std::vector<Json> inverses;
  // The library reports a patch that does not fit by throwing.
  try {
    for (const Json& operation : *patch) {
      Json inverse = InverseOf(operation, *keyed_);
      ApplyOne(*keyed_, operation);
      inverses.push_back(std::move(inverse));
    }
    return true;
  } catch (const Json::exception&) {
    for (auto inverse = inverses.rbegin(); inverse != inverses.rend();
         ++inverse) {
      ApplyOne(*keyed_, *inverse);
    }
    return false;
  }
}

std::string DocumentTree::DeltaTo(const DocumentTree& other) const {
  return Json::diff(*keyed_, *other.keyed_).dump();
}

std::string DocumentTree::ToText() const { return FromKeyed(*keyed_).dump(); }

std::optional<Configuration> DocumentTree::ToConfiguration(
    Findings& findings) const {
  return CheckDocument(FromKeyed(*keyed_), findings);
}

std::optional<std::int64_t> DocumentTree::NonNegativeIntegerAt(
    const char* pointer) const {
  const Json::json_pointer place(pointer);
  if (!keyed_->contains(place)) return std::nullopt;
  const Json& value = keyed_->at(place);
  if (!value.is_number_unsigned()) return std::nullopt;
  return value.get<std::int64_t>();
}

}  // namespace coltsfootfork
