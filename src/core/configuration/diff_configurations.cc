#include "coltsfootfork/core/configuration/diff_configurations.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "bounded_findings.h"
#include "json_text.h"
#include "keyed_document.h"

namespace coltsfootfork {
namespace {

using Json = nlohmann::json;
using Pointer = Json::json_pointer;

// A document in keyed form, with the places of its entities in the text as
// written.
struct IndexedDocument {
  Json keyed;
  // Maps a pointer into the keyed form to the pointer into the document as
  // written.
  std::map<std::string, std::string> entity_places;
};

std::optional<IndexedDocument> Read(std::string_view text,
                                    const char* document_name,
                                    Findings& findings) {
  BoundedFindings bounded(findings);
  const auto written = ReadJsonText(text, bounded);
  if (!written.has_value()) return std::nullopt;
  auto keyed = ToKeyed(*written);
  if (!keyed.has_value()) {
    findings.Add("/inventory", std::string(document_name) +
                                   ": an element has no id, or one that "
                                   "stands earlier in its list");
    return std::nullopt;
  }
  IndexedDocument document{std::move(*keyed), {}};
  for (const char* name : kInventoryLists) {
    const Pointer list = Pointer("/inventory") / name;
    if (!written->contains(list)) continue;
    const Json& elements = written->at(list);
    for (std::size_t i = 0; i < elements.size(); ++i) {
      const Pointer entity = list / elements[i].at("id").get<std::string>();
      document.entity_places[entity.to_string()] = (list / i).to_string();
    }
  }
  return document;
}

// Returns the inventory entity on the path of a pointer into the keyed form, if
// any, and sets `subpath` to the rest of the pointer.
std::optional<Pointer> FindEntity(const Pointer& pointer,
                                  std::string& subpath) {
  std::vector<std::string> tokens;
  for (Pointer rest = pointer; !rest.empty(); rest.pop_back()) {
    tokens.push_back(rest.back());
  }
  std::reverse(tokens.begin(), tokens.end());
  const bool in_list =
      tokens.size() > 2 && tokens[0] == "inventory" &&
      std::find(std::begin(kInventoryLists), std::end(kInventoryLists),
                tokens[1]) != std::end(kInventoryLists);
  if (!in_list) return std::nullopt;
  Pointer rest;
  for (std::size_t i = 3; i < tokens.size(); ++i) rest.push_back(tokens[i]);
  subpath = rest.to_string();
  return Pointer() / tokens[0] / tokens[1] / tokens[2];
}

void SetPlace(const Pointer& pointer, const IndexedDocument& document,
              ConfigurationChange& change) {
  std::string subpath;
  const auto entity = FindEntity(pointer, subpath);
  if (!entity.has_value()) {
    change.place = pointer.to_string();
    return;
  }
  change.entity = entity->back();
  const auto found = document.entity_places.find(entity->to_string());
  change.place = found == document.entity_places.end()
                     ? pointer.to_string()
                     : found->second + subpath;
}

ConfigurationChange ToChange(const Json& operation,
                             const IndexedDocument& before,
                             const IndexedDocument& after) {
  ConfigurationChange change;
  const auto& op = operation.at("op").get_ref<const std::string&>();
  const Pointer pointer(operation.at("path").get<std::string>());
  change.kind = op == "add"      ? ChangeKind::kAdded
                : op == "remove" ? ChangeKind::kRemoved
                                 : ChangeKind::kChanged;
  const bool removed = change.kind == ChangeKind::kRemoved;
  SetPlace(pointer, removed ? before : after, change);
  if (change.kind != ChangeKind::kAdded && before.keyed.contains(pointer)) {
    change.before = before.keyed.at(pointer).dump();
  }
  if (!removed) change.after = operation.at("value").dump();
  return change;
}

}  // namespace

std::string ConfigurationChange::ToText() const {
  static constexpr const char* kWords[] = {"added", "removed", "changed"};
  std::string text = kWords[static_cast<std::size_t>(kind)];
  text += " " + place;
  if (!entity.empty()) text += " (" + entity + ")";
  if (before.empty() && after.empty()) return text;
  text += ": ";
  if (kind == ChangeKind::kAdded) return text + after;
  if (kind == ChangeKind::kRemoved) return text + before;
  return text + before + " -> " + after;
}

std::optional<std::vector<ConfigurationChange>> DiffConfigurations(
    std::string_view before_text, std::string_view after_text,
    Findings& findings) {
  const auto before = Read(before_text, "the earlier document", findings);
  const auto after = Read(after_text, "the later document", findings);
  if (!before.has_value() || !after.has_value()) return std::nullopt;
  std::vector<ConfigurationChange> changes;
  for (const Json& operation : Json::diff(before->keyed, after->keyed)) {
    changes.push_back(ToChange(operation, *before, *after));
  }
  std::sort(changes.begin(), changes.end(), [](const auto& a, const auto& b) {
    return a.place != b.place ? a.place < b.place : a.kind < b.kind;
  });
  return changes;
}

}  // namespace coltsfootfork
