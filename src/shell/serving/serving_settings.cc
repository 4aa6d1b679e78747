#include "shell/serving/serving_settings.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "shell/log/log_level.h"
#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

using Json = nlohmann::json;

// Reads values of a JSON object by key and reports invalid ones as findings.
// Missing keys get default values.
class SettingsReader {
 public:
  SettingsReader(const Json& document, Findings& findings)
      : document_(document), findings_(findings) {}

  std::string ReadString(const char* key, bool required) {
    const Json* value = Find(key);
    if (value == nullptr) {
      if (required) findings_.Add(JsonPointer(key), "is missing");
      return {};
    }
    if (!value->is_string()) {
      findings_.Add(JsonPointer(key), "must be a text");
      return {};
    }
    return value->get<std::string>();
  }

  std::string ReadEndpoint(const char* key) {
    std::string text = ReadString(key, /*required=*/false);
    if (!text.empty() && !ParseEndpoint(text)) {
      findings_.Add(JsonPointer(key), "must be an IP number and a port");
    }
    return text;
  }

  std::uint64_t ReadUnsignedInteger(const char* key,
                                    std::uint64_t default_value,
                                    std::uint64_t max_value) {
    const Json* value = Find(key);
    if (value == nullptr) return default_value;
    if (!value->is_number_unsigned() ||
        value->get<std::uint64_t>() > max_value) {
      findings_.Add(JsonPointer(key), "must be a whole number from 0 to " +
                                          std::to_string(max_value));
      return default_value;
    }
    return value->get<std::uint64_t>();
  }

  double ReadNonNegativeNumber(const char* key, double default_value) {
    const Json* value = Find(key);
    if (value == nullptr) return default_value;
    if (!value->is_number() || value->get<double>() < 0) {
      findings_.Add(JsonPointer(key), "must be a number from 0");
      return default_value;
    }
    return value->get<double>();
  }

  std::chrono::milliseconds ReadSeconds(
      const char* key, std::chrono::milliseconds default_value) {
    const std::chrono::duration<double> seconds(ReadNonNegativeNumber(
        key, std::chrono::duration<double>(default_value).count()));
    return std::chrono::duration_cast<std::chrono::milliseconds>(seconds);
  }

  bool ReadBool(const char* key, bool default_value) {
    const Json* value = Find(key);
    if (value == nullptr) return default_value;
    if (!value->is_boolean()) {
      findings_.Add(JsonPointer(key), "must be true or false");
      return default_value;
    }
    return value->get<bool>();
  }

  std::chrono::milliseconds ReadMilliseconds(
      const char* key, std::chrono::milliseconds default_value) {
    // One day.
    constexpr std::uint64_t kMaxMs = 86'400'000;
    return std::chrono::milliseconds(ReadUnsignedInteger(
        key, static_cast<std::uint64_t>(default_value.count()), kMaxMs));
  }

  bool Has(const char* key) const { return Find(key) != nullptr; }

  // Returns nullopt if the key is missing. The value may have a fraction.
  std::optional<std::size_t> ReadOptionalSize(const char* key,
                                              std::size_t unit) {
    if (Find(key) == nullptr) return std::nullopt;
    return static_cast<std::size_t>(ReadNonNegativeNumber(key, 0) *
                                    static_cast<double>(unit));
  }

  std::map<ZoneId, RegionId> ReadRegions(const char* key) {
    std::map<ZoneId, RegionId> regions;
    const Json* value = Find(key);
    if (value == nullptr) return regions;
    if (!value->is_object()) {
      findings_.Add(JsonPointer(key), "must map zones to regions");
      return regions;
    }
    for (const auto& [zone, region] : value->items()) {
      if (region.is_string()) {
        regions[ZoneId(zone)] = RegionId(region.get<std::string>());
      } else {
        findings_.Add(JsonPointer(key) + "/" + zone, "must be a text");
      }
    }
    return regions;
  }

  std::vector<std::string> ReadEndpointHosts(const char* key) {
    std::vector<std::string> hosts;
    const Json* value = Find(key);
    if (value == nullptr) return hosts;
    if (!value->is_array()) {
      findings_.Add(JsonPointer(key), "must be a list of addresses");
      return hosts;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
      const Json& element = (*value)[i];
      const auto endpoint = element.is_string()
                                ? ParseEndpoint(element.get<std::string>())
                                : std::nullopt;
      if (!endpoint) {
        findings_.Add(JsonPointer(key) + "/" + std::to_string(i),
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
  static std::string JsonPointer(const char* key) {
    return std::string("/") + key;
  }

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

PerformancePolicy ReadPerformance(const std::string& name, Findings& findings) {
  if (name.empty()) return IgnorePerformance{};
  if (auto policy = ParsePerformancePolicy(name)) return *policy;
  findings.Add("/server_performance", "must be learned or ignored");
  return IgnorePerformance{};
}

UsagePacing ReadUsagePacing(const std::string& name, Findings& findings) {
  if (name.empty()) return PeriodicUsage{};
  if (const auto pacing = ParseUsagePacing(name)) return *pacing;
  findings.Add("/usage_reports", "must be periodic or prompt");
  return PeriodicUsage{};
}

PrecopyPolicy ReadPrecopy(const std::string& name, Findings& findings) {
  if (name.empty()) return SinglePrecopy{};
  if (const auto policy = ParsePrecopyPolicy(name)) return *policy;
  findings.Add("/precopy", "must be none or iterative");
  return SinglePrecopy{};
}

LogLevel ReadLogLevel(const std::string& name, Findings& findings) {
  if (name.empty()) return LogLevel::kInfo;
  if (const auto level = LogLevelNamed(name)) return *level;
  findings.Add("/log_level", "must be error, warning, info or debug");
  return LogLevel::kInfo;
}

}  // namespace

std::string ServingSettings::FleetAddress() const {
  return ip + ":" + std::to_string(fleet_port);
}

ConnectionLimits ServingSettings::MakeConnectionLimits() const {
  ConnectionLimits limits = LimitsForHost(memory_bytes, descriptors);
  limits.max_connections =
      max_client_connections.value_or(limits.max_connections);
  limits.max_reading_bytes =
      max_reading_bytes.value_or(limits.max_reading_bytes);
  return limits;
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
  settings.process = reader.ReadString("process", /*required=*/true);
  settings.zone =
      ZoneId(reader.ReadString("availability_zone", /*required=*/true));
  settings.ip = reader.ReadString("ip", /*required=*/true);
  settings.callers_listen = reader.ReadEndpoint("callers_listen");
  settings.ready_listen = reader.ReadEndpoint("ready_listen");
  settings.control_listen = reader.ReadEndpoint("control_listen");
  settings.metrics_listen = reader.ReadEndpoint("metrics_listen");
  settings.fleet_port = static_cast<std::uint16_t>(reader.ReadUnsignedInteger(
      "fleet_port", 0, std::numeric_limits<std::uint16_t>::max()));
  settings.control_seeds = reader.ReadEndpointHosts("control_seeds");
  settings.is_first_start = reader.ReadBool("is_first_start", false);
  settings.data_folder = reader.ReadString("data_folder", /*required=*/false);
  settings.refuse_copies =
      reader.ReadBool("refuse_copies", settings.refuse_copies);
  settings.shutdown_timeout =
      reader.ReadSeconds("stop_within_s", settings.shutdown_timeout);
  settings.retry_ratio =
      reader.ReadNonNegativeNumber("repeat_ratio", settings.retry_ratio);
  settings.retry_window =
      reader.ReadSeconds("repeat_window_s", settings.retry_window);
  settings.placement = ReadPlacement(
      reader.ReadString("placement", /*required=*/false), findings);
  settings.performance = ReadPerformance(
      reader.ReadString("server_performance", /*required=*/false), findings);
  settings.usage = ReadUsagePacing(
      reader.ReadString("usage_reports", /*required=*/false), findings);
  settings.use_ranks = reader.ReadBool("use_ranks", settings.use_ranks);
  settings.test_disk_fault_share = reader.ReadNonNegativeNumber(
      "test_disk_fault_share", settings.test_disk_fault_share);
  settings.fleet_listen = reader.ReadEndpoint("fleet_listen");
  settings.migrate_streams =
      reader.ReadBool("carry_streams", settings.migrate_streams);
  settings.precopy =
      ReadPrecopy(reader.ReadString("precopy", /*required=*/false), findings);
  settings.backup_max_fill =
      reader.ReadNonNegativeNumber("backup_fill", settings.backup_max_fill);
  settings.evacuation_bound =
      reader.ReadMilliseconds("evacuate_within_ms", settings.evacuation_bound);
  settings.has_evacuation_bound = reader.Has("evacuate_within_ms");
  settings.cold_overage =
      reader.ReadNonNegativeNumber("cold_overage", settings.cold_overage);
  settings.cold_slack =
      reader.ReadNonNegativeNumber("cold_slack", settings.cold_slack);
  constexpr std::size_t kMebibyte = 1U << 20U;
  settings.memory_bytes = reader.ReadOptionalSize("memory_mb", kMebibyte);
  settings.server_request_limit =
      reader.ReadOptionalSize("server_request_mb", kMebibyte)
          .value_or(settings.server_request_limit);
  settings.descriptors = reader.ReadOptionalSize("max_descriptors", 1);
  settings.max_client_connections =
      reader.ReadOptionalSize("max_client_connections", 1);
  settings.max_reading_bytes =
      reader.ReadOptionalSize("max_reading_mb", kMebibyte);
  settings.body_timeout =
      reader.ReadSeconds("request_body_s", settings.body_timeout);
  settings.regions = reader.ReadRegions("regions");
  settings.log_level = ReadLogLevel(
      reader.ReadString("log_level", /*required=*/false), findings);
  if (settings.fleet_port == 0) {
    findings.Add("/fleet_port", "must be a port above 0");
  }
  if (!findings.empty()) return std::nullopt;
  return settings;
}

}  // namespace coltsfootfork
