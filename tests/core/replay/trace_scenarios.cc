#include <utility>

#include "core/replay/recorded_entry.h"

namespace coltsfootfork::testing {
namespace {

using std::chrono::milliseconds;

void WholeStream(RecordedEntry& entry) {
  entry.AskStream("r1");
  entry.Token(0);
  entry.ConfigurationOf(4);
  entry.Token(1);
  entry.Token(2);
  entry.Completed(3);
}

void DuplicateTokenFrame(RecordedEntry& entry) {
  entry.AskStream("r1");
  entry.Token(0);
  entry.Token(1);
  entry.Token(1);
  entry.Token(2);
  entry.Completed(3);
}

void StaleGeneration(RecordedEntry& entry) {
  entry.AskStream("r1");
  const ProcessId first = entry.agent();
  entry.Input(AgentDisconnected{first});
  entry.Token(0);
  entry.LinkUp(first);
  entry.SendFrom(first, TokenFrame{RequestId("r1"), 1, 1, " late"});
  entry.Token(1);
  entry.Completed(2);
}

void ServerLostBeforeFirstToken(RecordedEntry& entry) {
  entry.AskStream("r1");
  entry.Interrupted(false);
  entry.Token(0);
  entry.Token(1);
  entry.Completed(2);
}

void ServerLostAfterFirstToken(RecordedEntry& entry) {
  entry.AskStream("ends");
  entry.Token(0);
  entry.Token(1);
  entry.Interrupted(false);
  entry.AskStream("resumed");
  entry.Token(0);
  entry.Interrupted(true);
  entry.Token(1);
  entry.Completed(2);
}

void NotRunRefusal(RecordedEntry& entry) {
  entry.AskStream("r1");
  entry.Refused(Reason::kDeadlineUnreachable);
  entry.Refused(Reason::kDeadlineUnreachable);
  entry.Tick(milliseconds(1000));
}

void NonIdempotentInterrupted(RecordedEntry& entry) {
  const auto answer = [&](const char* request, ClaimVerdict verdict) {
    ClaimReplied answered;
    answered.request = RequestId(request);
    answered.reply.verdict = verdict;
    entry.Input(answered);
  };
  entry.AskSale("sale");
  answer("sale", ClaimVerdict::kGranted);
  entry.Interrupted(false);
  entry.AskSale("resend");
  answer("resend", ClaimVerdict::kOutcomeUnknown);
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

std::vector<TraceScenario> MakeTraces() {
  std::vector<TraceScenario> scenarios;
  for (const auto& [name, script] : kScripts) {
    RecordedEntry entry(false);
    script(entry);
    scenarios.push_back({name, entry.Finish()});
  }
  return scenarios;
}

}  // namespace coltsfootfork::testing
