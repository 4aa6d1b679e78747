#include "shell/process/settings.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "core/configuration/bounded_findings.h"
#include "core/configuration/json_text.h"
#include "core/configuration/schema_check.h"
#include "shell/log/log_level.h"
#include "shell/net/ip_address.h"
#include "shell/process/settings_keys.h"

namespace coltsfootfork {
namespace {

using nlohmann::json;

std::string TextAt(const json& document, const char* pointer) {
  return document.value(json::json_pointer(pointer), std::string());
}

void CheckAddress(const std::string& address, const std::string& place,
                  BoundedFindings& findings) {
  if (ParseEndpoint(address)) return;
  findings.Add(place, "must be an IP number and a port, as 127.0.0.1:7000");
}

void CheckAddressAt(const json& document, const char* pointer,
                    BoundedFindings& findings) {
  const json::json_pointer place(pointer);
  if (!document.contains(place)) return;
  CheckAddress(document.at(place).get<std::string>(), pointer, findings);
}

// Checks rules that the table of keys cannot express.
void CheckSemantics(const json& document, BoundedFindings& findings) {
  for (const char* pointer :
       {"/peer/listen", "/peer/advertise", "/admin/listen", "/entry/listen",
        "/agent/engine_listen"}) {
    CheckAddressAt(document, pointer, findings);
  }
  const bool has_role = document.contains("entry") ||
                        document.contains("agent") ||
                        document.contains("control");
  if (!has_role) {
    findings.Add("", "must have a role: entry, agent or control");
  }
  if (document.contains("control") && !document.contains("data_folder")) {
    findings.Add("/data_folder", "missing; a control replica needs a disk");
  }
  const json seeds = document.value("control_seeds", json::array());
  for (std::size_t i = 0; i < seeds.size(); ++i) {
    CheckAddress(seeds[i].at("address").get<std::string>(),
                 "/control_seeds/" + std::to_string(i) + "/address", findings);
  }
  if (seeds.empty() && !document.contains("control")) {
    findings.Add("/control_seeds",
                 "must name a control replica where this process is none");
  }
}

ControlSettings ReadControl(const json& control) {
  ControlSettings settings;
  for (const json& founder : control.value("founders", json::array())) {
    settings.founders.emplace_back(founder.get<std::string>());
  }
  return settings;
}

Settings ReadSettings(const json& document) {
  Settings settings;
  settings.process = ProcessId(TextAt(document, "/process"));
  settings.zone = ZoneId(TextAt(document, "/availability_zone"));
  settings.data_folder = TextAt(document, "/data_folder");
  settings.peer_listen = TextAt(document, "/peer/listen");
  settings.peer_advertise = TextAt(document, "/peer/advertise");
  settings.fleet_key = TextAt(document, "/peer/fleet_key");
  settings.admin_listen = TextAt(document, "/admin/listen");
  settings.operator_token_sha256 =
      TextAt(document, "/admin/operator_token_sha256");
  settings.log_level =
      LogLevelNamed(TextAt(document, "/log/level")).value_or(LogLevel::kInfo);
  for (const json& seed : document.value("control_seeds", json::array())) {
    settings.control_seeds.push_back(
        {ProcessId(seed.at("process").get<std::string>()),
         seed.at("address").get<std::string>()});
  }
  if (document.contains("entry")) {
    settings.entry = EntrySettings{TextAt(document, "/entry/listen")};
  }
  if (document.contains("agent")) {
    settings.agent = AgentSettings{TextAt(document, "/agent/engine_listen")};
  }
  if (document.contains("control")) {
    settings.control = ReadControl(document.at("control"));
  }
  return settings;
}

}  // namespace

std::optional<Settings> ParseSettings(std::string_view json_text,
                                      Findings& findings) {
  BoundedFindings bounded(findings);
  const std::optional<json> document = ReadJsonText(json_text, bounded);
  if (!document) return std::nullopt;
  CheckSchema(*document, SettingsKeys(), bounded);
  if (!bounded.empty()) return std::nullopt;
  CheckSemantics(*document, bounded);
  if (!bounded.empty()) return std::nullopt;
  return ReadSettings(*document);
}

}  // namespace coltsfootfork
