#include "coltsfootfork/core/control_state/claim_table.h"

#include <utility>

#include "cbor.h"
#include "control_fields.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

ClaimBeginReply Verdict(ClaimVerdict verdict) { return {verdict, {}, {}}; }

// A snapshot restored from a table with larger limits may exceed `limit`.
std::size_t Remaining(std::size_t limit, std::size_t used) {
  return limit > used ? limit - used : 0;
}

std::size_t ResponseBytes(const StoredResponse& response) {
  return response.body.size() + response.content_type.size();
}

}  // namespace

template <typename A>
void Fields(A& archive, ClaimTable::Claim& claim) {
  archive("digest", claim.request_digest);
  archive("holder", claim.holder);
  archive("state", claim.state);
  archive("changed_at_ms", claim.changed_at);
  archive("has_answer", claim.has_response);
  if (claim.has_response) archive("answer", claim.response);
}

ClaimBeginReply ClaimTable::Begin(const ClaimBegin& begin, milliseconds now) {
  const auto found = claims_.find(begin.claim);
  return found == claims_.end() ? BeginNew(begin, now)
                                : BeginExisting(begin, found, now);
}

ClaimBeginReply ClaimTable::BeginNew(const ClaimBegin& begin,
                                     milliseconds now) {
  const std::size_t free = Remaining(limits_.max_claims, total_.claims);
  if (usage_[begin.claim.workspace].claims >= free) {
    ClaimBeginReply reply = Verdict(ClaimVerdict::kNoQuorum);
    reply.problem = "the workspace holds too many claims";
    return reply;
  }
  Claim claim;
  claim.request_digest = begin.request_digest;
  claim.holder = begin.request;
  claim.changed_at = now;
  Insert(begin.claim, std::move(claim));
  return Verdict(ClaimVerdict::kGranted);
}

ClaimBeginReply ClaimTable::BeginExisting(const ClaimBegin& begin,
                                          Claims::iterator found,
                                          milliseconds now) {
  Claim& claim = found->second;
  if (claim.request_digest != begin.request_digest) {
    return Verdict(ClaimVerdict::kKeyReused);
  }
  const bool is_holder = claim.holder == begin.request;
  switch (claim.state) {
    case State::kDone: {
      if (!claim.has_response) return Verdict(ClaimVerdict::kOutcomeUnknown);
      return {ClaimVerdict::kDone, claim.response, {}};
    }
    case State::kUnknown:
      return Verdict(ClaimVerdict::kOutcomeUnknown);
    case State::kNotRun: {
      // A delayed duplicate from the holder, which no longer waits for a reply.
      if (is_holder) return Verdict(ClaimVerdict::kOutcomeUnknown);
      claim.holder = begin.request;
      claim.state = State::kInProgress;
      UpdateChangedAt(found, now);
      return Verdict(ClaimVerdict::kGranted);
    }
    case State::kInProgress:
      break;
  }
  // The holder retries because it didn't receive the reply.
  if (is_holder) return Verdict(ClaimVerdict::kGranted);
  const bool timed_out = now - claim.changed_at >= limits_.in_progress_timeout;
  return Verdict(timed_out ? ClaimVerdict::kOutcomeUnknown
                           : ClaimVerdict::kInProgress);
}

ClaimSettleReply ClaimTable::Settle(const ClaimSettle& settle,
                                    milliseconds now) {
  const auto found = claims_.find(settle.claim);
  if (found == claims_.end() || found->second.holder != settle.request) {
    return {false};
  }
  Claim& claim = found->second;
  // A request that ran stays done, whatever a later message reports.
  if (claim.state == State::kDone) {
    return {settle.outcome == ClaimOutcome::kDone};
  }
  switch (settle.outcome) {
    case ClaimOutcome::kDone:
      claim.state = State::kDone;
      StoreResponse(found, settle.answer);
      break;
    case ClaimOutcome::kNotRun:
      claim.state = State::kNotRun;
      break;
    case ClaimOutcome::kUnknown:
      claim.state = State::kUnknown;
      break;
  }
  UpdateChangedAt(found, now);
  return {true};
}

void ClaimTable::Expire(milliseconds retention, milliseconds now) {
  while (!by_changed_at_.empty() &&
         by_changed_at_.begin()->first + retention <= now) {
    Erase(claims_.find(by_changed_at_.begin()->second));
  }
}

void ClaimTable::UpdateChangedAt(Claims::iterator claim, milliseconds now) {
  by_changed_at_.erase({claim->second.changed_at, claim->first});
  claim->second.changed_at = now;
  by_changed_at_.emplace(now, claim->first);
}

void ClaimTable::StoreResponse(Claims::iterator claim,
                               const StoredResponse& response) {
  const std::size_t size = ResponseBytes(response);
  Usage& usage = usage_[claim->first.workspace];
  const std::size_t free =
      Remaining(limits_.max_total_response_bytes, total_.response_bytes);
  if (size > limits_.max_response_bytes || usage.response_bytes + size > free) {
    return;
  }
  claim->second.has_response = true;
  claim->second.response = response;
  usage.response_bytes += size;
  total_.response_bytes += size;
}

void ClaimTable::Insert(const ClaimKey& key, Claim claim) {
  by_changed_at_.emplace(claim.changed_at, key);
  const std::size_t size = ResponseBytes(claim.response);
  Usage& usage = usage_[key.workspace];
  usage.claims += 1;
  usage.response_bytes += size;
  total_.claims += 1;
  total_.response_bytes += size;
  claims_.emplace(key, std::move(claim));
}

void ClaimTable::Erase(Claims::iterator claim) {
  const std::size_t size = ResponseBytes(claim->second.response);
  Usage& usage = usage_[claim->first.workspace];
  usage.claims -= 1;
  usage.response_bytes -= size;
  total_.claims -= 1;
  total_.response_bytes -= size;
  if (usage.claims == 0) usage_.erase(claim->first.workspace);
  by_changed_at_.erase({claim->second.changed_at, claim->first});
  claims_.erase(claim);
}

std::string ClaimTable::Snapshot() const {
  auto list = nlohmann::json::array();
  for (const auto& [key, claim] : claims_) {
    ClaimKey key_copy = key;
    Claim claim_copy = claim;
    auto json = WriteField(claim_copy);
    json["key"] = WriteField(key_copy);
    list.push_back(std::move(json));
  }
  return WriteCbor(list);
}

bool ClaimTable::Restore(std::string_view bytes) {
  const auto list = ReadCbor(bytes);
  if (!list.has_value() || !list->is_array()) return false;
  ClaimTable restored(limits_);
  for (const auto& json : *list) {
    ClaimKey key;
    Claim claim;
    if (!json.is_object() || !json.contains("key")) return false;
    if (!ReadField(json["key"], key) || !ReadField(json, claim)) return false;
    if (restored.claims_.count(key) > 0) return false;
    restored.Insert(key, std::move(claim));
  }
  *this = std::move(restored);
  return true;
}

}  // namespace coltsfootfork
