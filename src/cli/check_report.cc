#include "cli/check_report.h"

#include <nlohmann/json.hpp>

namespace coltsfootfork {
namespace {

using nlohmann::json;

constexpr const char* kChangeWords[] = {"added", "removed", "changed"};

// Documents may have values that are not valid UTF-8.
std::string Dump(const json& document) {
  return document.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

json ToJsonArray(const Findings& findings) {
  auto array = json::array();
  for (const Finding& finding : findings.list()) {
    const bool is_error = finding.severity == Severity::kError;
    array.push_back({{"severity", is_error ? "error" : "warning"},
                     {"place", finding.place},
                     {"problem", finding.problem}});
  }
  return array;
}

json ToJsonArray(const std::vector<ConfigurationChange>& changes) {
  auto array = json::array();
  for (const ConfigurationChange& change : changes) {
    json element = {
        {"change", kChangeWords[static_cast<std::size_t>(change.kind)]},
        {"place", change.place}};
    if (!change.entity.empty()) element["name"] = change.entity;
    if (!change.before.empty()) element["before"] = change.before;
    if (!change.after.empty()) element["after"] = change.after;
    array.push_back(std::move(element));
  }
  return array;
}

}  // namespace

std::string CheckReport::ToText() const {
  std::string text = findings.empty() ? "no findings\n" : findings.ToText();
  for (const std::string& line : not_checked) {
    text += "not checked: " + line + "\n";
  }
  if (!is_compared) return text;
  text += changes.empty() ? "no differences from the version in force\n"
                          : "differences from the version in force:\n";
  for (const ConfigurationChange& change : changes) {
    text += change.ToText() + "\n";
  }
  return text;
}

std::string CheckReport::ToJson() const {
  json document = {{"findings", ToJsonArray(findings)},
                   {"not_checked", not_checked}};
  if (is_compared) document["changes"] = ToJsonArray(changes);
  return Dump(document);
}

}  // namespace coltsfootfork
