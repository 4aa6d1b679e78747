#include <utility>

#include "core/replay/recorded_entry.h"

namespace coltsfootfork::testing {
namespace {

using std::chrono::milliseconds;

void WholeStream(RecordedEntry& entry) {
  entry.SendStreamRequest("r1");
  entry.SendToken(0);
  entry.ApplyConfiguration(4);
  entry.SendToken(1);
  entry.SendToken(2);
  entry.SendCompleted(3);
}

void DuplicateTokenFrame(RecordedEntry& entry) {
  entry.SendStreamRequest("r1");
  entry.SendToken(0);
  entry.SendToken(1);
  entry.SendToken(1);
  entry.SendToken(2);
  entry.SendCompleted(3);
}

void StaleGeneration(RecordedEntry& entry) {
  entry.SendStreamRequest("r1");
  const ProcessId first = entry.agent();
  entry.Input(AgentDisconnected{first});
  entry.SendToken(0);
  entry.ConnectAgent(first);
  entry.SendAgentMessage(first, TokenFrame{RequestId("r1"), 1, 1, " late"});
  entry.SendToken(1);
  entry.SendCompleted(2);
}

void ServerLostBeforeFirstToken(RecordedEntry& entry) {
  entry.SendStreamRequest("r1");
  entry.SendInterrupted(false);
  entry.SendToken(0);
  entry.SendToken(1);
  entry.SendCompleted(2);
}

void ServerLostAfterFirstToken(RecordedEntry& entry) {
  entry.SendStreamRequest("ends");
  entry.SendToken(0);
  entry.SendToken(1);
  entry.SendInterrupted(false);
  entry.SendStreamRequest("resumed");
  entry.SendToken(0);
  entry.SendInterrupted(true);
  entry.SendToken(1);
  entry.SendCompleted(2);
}

void NotRunRefusal(RecordedEntry& entry) {
  entry.SendStreamRequest("r1");
  entry.SendRefused(Reason::kDeadlineUnreachable);
  entry.SendRefused(Reason::kDeadlineUnreachable);
  entry.Tick(milliseconds(1000));
}

void NonIdempotentInterrupted(RecordedEntry& entry) {
  const auto reply_to_claim = [&](const char* request, ClaimVerdict verdict) {
    ClaimReplied claim_reply;
    claim_reply.request = RequestId(request);
    claim_reply.reply.verdict = verdict;
    entry.Input(claim_reply);
  };
  entry.SendSaleRequest("sale");
  reply_to_claim("sale", ClaimVerdict::kGranted);
  entry.SendInterrupted(false);
  entry.SendSaleRequest("resend");
  reply_to_claim("resend", ClaimVerdict::kOutcomeUnknown);
}

using Script = void (*)(RecordedEntry&);
constexpr std::pair<const char*, Script> kScripts[] = {
    {"whole_stream", WholeStream},
    {"duplicate_token_frame", DuplicateTokenFrame},
    {"stale_generation", StaleGeneration},
    {"server_lost_before_first_token", ServerLostBeforeFirstToken},
    {"server_lost_after_first_token", ServerLostAfterFirstToken},
    {"not_run_refusal", NotRunRefusal},
    {"non_idempotent_interrupted", NonIdempotentInterrupted},
};

}  // namespace

std::vector<TraceScenario> RecordTraces() {
  std::vector<TraceScenario> scenarios;
  for (const auto& [name, script] : kScripts) {
    RecordedEntry entry(false);
    script(entry);
    scenarios.push_back({name, entry.Finish()});
  }
  return scenarios;
}

}  // namespace coltsfootfork::testing
