#include "wire/request_codec.h"

#include <string>

namespace coltsfootfork {

void to_json(nlohmann::json& j, Reason reason) { j = ReasonName(reason); }

void from_json(const nlohmann::json& j, Reason& reason) {
  // An unknown reason comes from a newer version; the request has failed
  // nevertheless.
  reason = ParseReason(j.get_ref<const std::string&>())
               .value_or(Reason::kServerError);
}

void to_json(nlohmann::json& j, Rank rank) { j = RankName(rank); }

void from_json(const nlohmann::json& j, Rank& rank) {
  rank = ParseRank(j.get_ref<const std::string&>()).value_or(Rank::kDeferrable);
}

}  // namespace coltsfootfork
