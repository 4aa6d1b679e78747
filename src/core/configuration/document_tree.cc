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

// DeltaTo writes only these operations. In particular, "copy" would allow a
// short patch to grow a document without bound.
bool IsSupportedOperation(const Json& operation) {
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
    if (!IsSupportedOperation(operation)) return std::nullopt;
  }
  return patch;
}

// Returns the target location of an operation. "-" means the end of a list.
Json::json_pointer TargetPointer(const Json& operation, const Json& document) {
  Json::json_pointer target_path(operation.at("path").get<std::string>());
  if (target_path.empty() || target_path.back() != "-") return target_path;
  const Json::json_pointer list = target_path.parent_pointer();
  if (!document.at(list).is_array()) return target_path;
  return list / document.at(list).size();
}

// Returns the operation that reverts `operation` on the same document.
Json InverseOf(const Json& operation, const Json& document) {
  const Json::json_pointer target_path = TargetPointer(operation, document);
  const bool inserts = operation.at("op") == "add" &&
                       (!document.contains(target_path) ||
                        (!target_path.empty() &&
                         document.at(target_path.parent_pointer()).is_array()));
  if (inserts) return {{"op", "remove"}, {"path", target_path.to_string()}};
  const bool removes = operation.at("op") == "remove";
  return {{"op", removes ? "add" : "replace"},
          {"path", target_path.to_string()},
          {"value", document.at(target_path)}};
}

void ApplyOperation(Json& document, const Json& operation) {
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
  // The library throws if a patch doesn't apply.
  try {
    for (const Json& operation : *patch) {
      Json inverse = InverseOf(operation, *keyed_);
      ApplyOperation(*keyed_, operation);
      inverses.push_back(std::move(inverse));
    }
    return true;
  } catch (const Json::exception&) {
    for (auto inverse = inverses.rbegin(); inverse != inverses.rend();
         ++inverse) {
      ApplyOperation(*keyed_, *inverse);
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
  const Json::json_pointer target_path(pointer);
  if (!keyed_->contains(target_path)) return std::nullopt;
  const Json& value = keyed_->at(target_path);
  if (!value.is_number_unsigned()) return std::nullopt;
  return value.get<std::int64_t>();
}

}  // namespace coltsfootfork
