#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "coltsfootfork/core/configuration/serving_rules.h"
#include "coltsfootfork/core/messages/entry_io.h"
#include "coltsfootfork/core/replay/outcomes.h"
#include "coltsfootfork/core/types/finding.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// What one request has seen so far.
struct RequestHistory {
  CallerRequest call;
  RequestEnd end = RequestEnd::kOpen;
  Reason reason = Reason::kNone;
  bool not_run = false;
  // By the rules when the request came.
  std::optional<Rank> required_rank;
  // Of the last hand-over.
  std::optional<Rank> rank;
  std::uint32_t tokens = 0;
  std::optional<Time> last_token;
  Duration longest_gap{0};
  std::uint32_t dispatches = 0;
  // Hand-overs that are not proved not to have run.
  std::set<Generation> may_have_run;
  bool claim_requested = false;
  bool claim_granted = false;
  // The answer is one that an earlier request's claim has kept.
  bool is_stored_response = false;
  // Generations whose frames explain every token delivered so far.
  std::set<Generation> source_generations;
  std::map<std::pair<Generation, std::uint32_t>, std::string> frames;
};

// Checks what must hold of every entry, over its inputs and effects in their
// order. Findings carry the place of the line that shows them.
class StreamChecks {
 public:
  explicit StreamChecks(Findings* findings) : findings_(findings) {}

  void OnInput(const EntryInput& input, const std::string& place);
  void OnEffect(const EntryEffect& effect, Time at, const std::string& place);

  const std::map<RequestId, RequestHistory>& requests() const {
    return requests_;
  }
  const std::map<Reason, std::uint64_t>& reasons() const { return reasons_; }

 private:
  struct InputVisitor;
  struct EffectVisitor;

  // The request's history; null where it was never asked for.
  RequestHistory* Find(const RequestId& request);
  // The same with a finding where there is none.
  RequestHistory* FindOrReport(const RequestId& request,
                               const std::string& place);
  void Report(const std::string& place, const RequestId& request,
              const std::string& problem);
  // Notes the final answer; a finding where there was one already.
  bool RecordEnd(RequestHistory* history, RequestEnd end,
                 const std::string& place);

  Findings* findings_;
  std::map<RequestId, RequestHistory> requests_;
  std::map<Reason, std::uint64_t> reasons_;
  std::unique_ptr<ServingRules> rules_;
  Revision revision_ = 0;
};

}  // namespace coltsfootfork
