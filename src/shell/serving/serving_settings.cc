#include "shell/serving/serving_settings.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "shell/log/log_level.h"
#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

using Json = nlohmann::json;

// Reads the keys of one object and collects what is wrong with them.
class SettingsReader {
 public:
  SettingsReader(const Json& document, Findings& findings)
      : document_(document), findings_(findings) {}

  std::string Text(const char* key, bool required) {
    const Json* value = Find(key);
    if (value == nullptr) {
      if (required) findings_.Add(Place(key), "is missing");
      return {};
    }
    if (!value->is_string()) {
      findings_.Add(Place(key), "must be a text");
      return {};
    }
    return value->get<std::string>();
  }

  std::string Address(const char* key) {
    std::string text = Text(key, /*required=*/false);
    if (!text.empty() && !ParseEndpoint(text)) {
      findings_.Add(Place(key), "must be an IP number and a port");
    }
    return text;
  }

  std::uint64_t Number(const char* key, std::uint64_t otherwise,
                       std::uint64_t most) {
    const Json* value = Find(key);
    if (value == nullptr) return otherwise;
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() > most) {
      findings_.Add(Place(key),
                    "must be a whole number from 0 to " + std::to_string(most));
      return otherwise;
    }
    return value->get<std::uint64_t>();
  }

  double Fraction(const char* key, double otherwise) {
    const Json* value = Find(key);
    if (value == nullptr) return otherwise;
    if (!value->is_number() || value->get<double>() < 0) {
      findings_.Add(Place(key), "must be a number from 0");
      return otherwise;
    }
    return value->get<double>();
  }

  std::chrono::milliseconds Seconds(const char* key,
                                    std::chrono::milliseconds otherwise) {
    const std::chrono::duration<double> seconds(
        Fraction(key, std::chrono::duration<double>(otherwise).count()));
    return std::chrono::duration_cast<std::chrono::milliseconds>(seconds);
  }

  bool Flag(const char* key, bool otherwise) {
    const Json* value = Find(key);
    if (value == nullptr) return otherwise;
    if (!value->is_boolean()) {
      findings_.Add(Place(key), "must be true or false");
      return otherwise;
    }
    return value->get<bool>();
  }

  std::vector<std::string> Hosts(const char* key) {
    std::vector<std::string> hosts;
    const Json* value = Find(key);
    if (value == nullptr) return hosts;
    if (!value->is_array()) {
      findings_.Add(Place(key), "must be a list of addresses");
      return hosts;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
      const Json& one = (*value)[i];
      const auto endpoint = one.is_string()
                                ? ParseEndpoint(one.get<std::string>())
                                : std::nullopt;
      if (!endpoint) {
        findings_.Add(Place(key) + "/" + std::to_string(i),
                      "must be an IP number and a port");
        continue;
      }
      hosts.push_back(endpoint->address().to_string());
    }
    return hosts;
  }

 private:
  const Json* Find(const char* key) const {
    const auto found = document_.find(key);
    return found == document_.end() || found->is_null() ? nullptr : &*found;
  }
  static std::string Place(const char* key) { return std::string("/") + key; }

  const Json& document_;
  Findings& findings_;
};

PlacementPolicy ReadPlacement(const std::string& name, Findings& findings) {
  if (name.empty()) return PowerOfDChoicesPlacement{};
  const auto policy = ParsePlacementPolicy(name);
  if (policy) return *policy;
  findings.Add("/placement", "must be drawn, round_robin or fewest_calls");
  return PowerOfDChoicesPlacement{};
}

LogLevel ReadLevel(const std::string& name, Findings& findings) {
  if (name.empty()) return LogLevel::kInfo;
  if (const auto level = LogLevelNamed(name)) return *level;
  findings.Add("/log_level", "must be error, warning, info or debug");
  return LogLevel::kInfo;
}

}  // namespace

std::string ServingSettings::FleetAddress() const {
  return ip + ":" + std::to_string(fleet_port);
}

std::vector<std::string> ServingSettings::SeedAddresses() const {
  std::vector<std::string> addresses;
  for (const std::string& seed : control_seeds) {
    addresses.push_back(seed + ":" + std::to_string(fleet_port));
  }
  return addresses;
}

std::optional<ServingSettings> ParseServingSettings(const std::string& text,
                                                    Findings& findings) {
  const Json document = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!document.is_object()) {
    findings.Add("", "must be a JSON object");
    return std::nullopt;
  }
  SettingsReader reader(document, findings);
  ServingSettings settings;
  settings.process = reader.Text("process", /*required=*/true);
  settings.zone = ZoneId(reader.Text("availability_zone", /*required=*/true));
  settings.ip = reader.Text("ip", /*required=*/true);
  settings.callers_listen = reader.Address("callers_listen");
  settings.ready_listen = reader.Address("ready_listen");
  settings.control_listen = reader.Address("control_listen");
  settings.metrics_listen = reader.Address("metrics_listen");
  settings.fleet_port = static_cast<std::uint16_t>(reader.Number(
      "fleet_port", 0, std::numeric_limits<std::uint16_t>::max()));
  settings.control_seeds = reader.Hosts("control_seeds");
  settings.is_first_start = reader.Flag("is_first_start", false);
  settings.data_folder = reader.Text("data_folder", /*required=*/false);
  settings.refuse_copies = reader.Flag("refuse_copies", settings.refuse_copies);
  settings.shutdown_timeout =
      reader.Seconds("stop_within_s", settings.shutdown_timeout);
  settings.retry_ratio = reader.Fraction("repeat_ratio", settings.retry_ratio);
  settings.retry_window =
      reader.Seconds("repeat_window_s", settings.retry_window);
  settings.placement =
      ReadPlacement(reader.Text("placement", /*required=*/false), findings);
  settings.use_ranks = reader.Flag("use_ranks", settings.use_ranks);
  settings.test_disk_fault_share =
      reader.Fraction("test_disk_fault_share", settings.test_disk_fault_share);
  settings.fleet_listen = reader.Address("fleet_listen");
  settings.migrate_streams =
      reader.Flag("carry_streams", settings.migrate_streams);
  settings.backup_max_fill =
      reader.Fraction("backup_fill", settings.backup_max_fill);
  settings.log_level =
      ReadLevel(reader.Text("log_level", /*required=*/false), findings);
  if (settings.fleet_port == 0) {
    findings.Add("/fleet_port", "must be a port above 0");
  }
  if (!findings.empty()) return std::nullopt;
  return settings;
}

}  // namespace coltsfootfork
