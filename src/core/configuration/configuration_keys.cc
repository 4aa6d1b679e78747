#include "coltsfootfork/core/configuration/configuration_keys.h"

namespace coltsfootfork {
namespace {

using Kind = ValueKind;

constexpr double kMaxZones = 64;
constexpr double kMaxServices = 256;
constexpr double kMaxServers = 4096;
constexpr double kMaxServicesPerServer = 64;
constexpr double kMaxWorkspaces = 10000;
constexpr double kMaxRankRules = 20000;
constexpr double kMaxNonIdempotentRules = 4096;
constexpr double kMinWeight = 0.001;
constexpr double kMaxWeight = 1000;
constexpr double kMaxRequestsPerSecond = 1e6;
constexpr double kMaxTokensPerSecond = 1e9;
constexpr double kMaxStreams = 1e6;
constexpr double kMaxMethodLength = 16;
constexpr double kMaxPathLength = 1024;
constexpr double kHourInMilliseconds = 3'600'000;
constexpr double kMinuteInMilliseconds = 60'000;
constexpr double kMinClaimRetentionSeconds = 60;
constexpr double kMaxClaimRetentionSeconds = 2'592'000;

ConfigurationKey Key(std::string_view path, Kind kind, bool required = false,
                     double minimum = 0, double maximum = 0,
                     std::string_view default_value = "",
                     std::string_view choices = "") {
  return {path, kind, required, minimum, maximum, default_value, choices};
}

}  // namespace

const std::vector<ConfigurationKey>& ConfigurationKeys() {
  static const std::vector<ConfigurationKey> keys = {
      Key("", Kind::kObject, true),
      Key("/inventory", Kind::kObject, true),
      Key("/inventory/availability_zones", Kind::kList, true, 1, kMaxZones),
      Key("/inventory/availability_zones/*", Kind::kObject),
      Key("/inventory/availability_zones/*/id", Kind::kName, true),
      Key("/inventory/availability_zones/*/region", Kind::kName, true),
      Key("/inventory/services", Kind::kList, true, 1, kMaxServices),
      Key("/inventory/services/*", Kind::kObject),
      Key("/inventory/services/*/id", Kind::kName, true),
      Key("/inventory/services/*/kind", Kind::kChoice, false, 0, 0,
          "generation", "generation|plain"),
      Key("/inventory/engines", Kind::kList, true, 0, kMaxServers),
      Key("/inventory/engines/*", Kind::kObject),
      Key("/inventory/engines/*/id", Kind::kName, true),
      Key("/inventory/engines/*/availability_zone", Kind::kName, true),
      Key("/inventory/engines/*/services", Kind::kList, true, 1,
          kMaxServicesPerServer),
      Key("/inventory/engines/*/services/*", Kind::kName),
      Key("/inventory/workspaces", Kind::kList, true, 0, kMaxWorkspaces),
      Key("/inventory/workspaces/*", Kind::kObject),
      Key("/inventory/workspaces/*/id", Kind::kName, true),
      Key("/inventory/workspaces/*/key_sha256", Kind::kSha256, true),
      Key("/inventory/workspaces/*/weight", Kind::kNumber, false, kMinWeight,
          kMaxWeight, "1"),
      Key("/inventory/workspaces/*/limits", Kind::kObject),
      Key("/inventory/workspaces/*/limits/requests_per_second", Kind::kInteger,
          false, 0, kMaxRequestsPerSecond, "0"),
      Key("/inventory/workspaces/*/limits/tokens_per_second", Kind::kInteger,
          false, 0, kMaxTokensPerSecond, "0"),
      Key("/inventory/workspaces/*/limits/concurrent_streams", Kind::kInteger,
          false, 0, kMaxStreams, "0"),
      Key("/rules", Kind::kObject),
      Key("/rules/ranks", Kind::kList, false, 0, kMaxRankRules),
      Key("/rules/ranks/*", Kind::kObject),
      Key("/rules/ranks/*/rank", Kind::kChoice, true, 0, 0, "",
          "urgent|deferrable"),
      Key("/rules/ranks/*/workspace", Kind::kName),
      Key("/rules/ranks/*/service", Kind::kName),
      Key("/rules/non_idempotent", Kind::kList, false, 0,
          kMaxNonIdempotentRules),
      Key("/rules/non_idempotent/*", Kind::kObject),
      Key("/rules/non_idempotent/*/service", Kind::kName, true),
      Key("/rules/non_idempotent/*/method", Kind::kText, false, 0,
          kMaxMethodLength),
      Key("/rules/non_idempotent/*/path_prefix", Kind::kText, false, 0,
          kMaxPathLength),
      Key("/rules/targets", Kind::kObject),
      Key("/rules/targets/urgent", Kind::kObject),
      Key("/rules/targets/urgent/first_token_ms", Kind::kInteger, false, 1,
          kHourInMilliseconds, "1800"),
      Key("/rules/targets/urgent/token_gap_ms", Kind::kInteger, false, 1,
          kMinuteInMilliseconds, "27"),
      Key("/rules/targets/urgent/start_within_ms", Kind::kInteger, false, 1,
          kHourInMilliseconds, "30000"),
      Key("/rules/targets/deferrable", Kind::kObject),
      Key("/rules/targets/deferrable/first_token_ms", Kind::kInteger, false, 1,
          kHourInMilliseconds, "1800"),
      Key("/rules/targets/deferrable/token_gap_ms", Kind::kInteger, false, 1,
          kMinuteInMilliseconds, "27"),
      Key("/rules/targets/deferrable/start_within_ms", Kind::kInteger, false, 1,
          kHourInMilliseconds, "30000"),
      Key("/rules/deferrable_floor", Kind::kNumber, false, 0, 1, "0.1"),
      Key("/rules/claim_retention_s", Kind::kInteger, false,
          kMinClaimRetentionSeconds, kMaxClaimRetentionSeconds, "86400"),
  };
  return keys;
}

}  // namespace coltsfootfork
