#include "shell/process/settings_keys.h"

namespace coltsfootfork {
namespace {

constexpr double kMaxAddressBytes = 64;
constexpr double kMaxPathBytes = 1024;
constexpr double kMinKeyBytes = 16;
constexpr double kMaxKeyBytes = 1024;
// The maximum number of voters in a replica group.
constexpr double kMaxSeeds = 7;

ConfigurationKey Object(std::string_view path, bool required) {
  return {path, ValueKind::kObject, required, 0, 0, "", ""};
}

ConfigurationKey Name(std::string_view path) {
  return {path, ValueKind::kName, true, 0, 0, "", ""};
}

ConfigurationKey Address(std::string_view path, bool required) {
  return {path, ValueKind::kText, required, 0, kMaxAddressBytes, "", ""};
}

}  // namespace

const std::vector<ConfigurationKey>& SettingsKeys() {
  static const std::vector<ConfigurationKey> keys = {
      Object("", true),
      Name("/process"),
      Name("/availability_zone"),
      {"/data_folder", ValueKind::kText, false, 0, kMaxPathBytes, "", ""},
      Object("/peer", true),
      Address("/peer/listen", true),
      Address("/peer/advertise", false),
      {"/peer/fleet_key", ValueKind::kText, true, kMinKeyBytes, kMaxKeyBytes,
       "", ""},
      Object("/admin", true),
      Address("/admin/listen", true),
      {"/admin/operator_token_sha256", ValueKind::kSha256, true, 0, 0, "", ""},
      {"/control_seeds", ValueKind::kList, false, 0, kMaxSeeds, "[]", ""},
      Object("/control_seeds/*", false),
      Name("/control_seeds/*/process"),
      Address("/control_seeds/*/address", true),
      Object("/entry", false),
      Address("/entry/listen", true),
      Object("/agent", false),
      Address("/agent/engine_listen", true),
      Object("/control", false),
      {"/control/founders", ValueKind::kList, false, 0, kMaxSeeds, "[]", ""},
      {"/control/founders/*", ValueKind::kName, false, 0, 0, "", ""},
      Object("/log", false),
      {"/log/level", ValueKind::kChoice, false, 0, 0, "info",
       "error|warning|info|debug"},
  };
  return keys;
}

}  // namespace coltsfootfork
