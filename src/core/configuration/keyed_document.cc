#include "keyed_document.h"

#include <utility>

#include "bounded_findings.h"
#include "json_text.h"

namespace coltsfootfork {
namespace {

using Json = nlohmann::json;

bool ListToObject(Json& list) {
  Json object = Json::object();
  for (Json& element : list) {
    if (!element.is_object()) return false;
    const auto id = element.find("id");
    if (id == element.end() || !id->is_string()) return false;
    const auto name = id->get<std::string>();
    if (object.contains(name)) return false;
    element.erase(id);
    object[name] = std::move(element);
  }
  list = std::move(object);
  return true;
}

void ObjectToList(Json& object) {
  Json list = Json::array();
  for (auto& [id, element] : object.items()) {
    if (element.is_object()) element["id"] = id;
    list.push_back(std::move(element));
  }
  object = std::move(list);
}

Json* FindInventoryList(Json& document, const char* name) {
  if (!document.is_object()) return nullptr;
  const auto inventory = document.find("inventory");
  if (inventory == document.end() || !inventory->is_object()) return nullptr;
  const auto list = inventory->find(name);
  return list == inventory->end() ? nullptr : &*list;
}

}  // namespace

std::optional<Json> ToKeyed(Json document) {
  for (const char* name : kInventoryLists) {
    Json* list = FindInventoryList(document, name);
    if (list == nullptr) continue;
    if (!list->is_array() || !ListToObject(*list)) return std::nullopt;
  }
  return document;
}

Json FromKeyed(Json keyed) {
  for (const char* name : kInventoryLists) {
    Json* object = FindInventoryList(keyed, name);
    if (object != nullptr && object->is_object()) ObjectToList(*object);
  }
  return keyed;
}

std::optional<Json> ReadKeyed(std::string_view json_text) {
  Findings findings;
  BoundedFindings bounded(findings);
  auto document = ReadJsonText(json_text, bounded);
  if (!document.has_value() || !findings.empty()) return std::nullopt;
  return ToKeyed(std::move(*document));
}

}  // namespace coltsfootfork
