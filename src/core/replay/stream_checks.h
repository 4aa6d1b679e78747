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

// The inputs and effects of one request so far.
struct RequestHistory {
  CallerRequest call;
  RequestEnd end = RequestEnd::kOpen;
  Reason reason = Reason::kNone;
  bool not_run = false;
  // The rank by the rules in force when the request arrived.
  std::optional<Rank> required_rank;
  // The rank of the last dispatch.
  std::optional<Rank> rank;
  std::uint32_t tokens = 0;
  std::optional<Time> last_token;
  Duration longest_gap{0};
  std::uint32_t dispatches = 0;
  // Dispatched generations without proof that they have not run.
  std::set<Generation> may_have_run;
  bool claim_requested = false;
  bool claim_granted = false;
  // The response was stored by the claim of an earlier request.
  bool is_stored_response = false;
  // Generations whose frames match every token delivered so far.
  std::set<Generation> source_generations;
  std::map<std::pair<Generation, std::uint32_t>, std::string> frames;
};

// Checks the invariants of every entry over its inputs and effects, in their
// order. Each finding has the place of the line that violates an invariant.
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

  // Returns the history of the request, or null if the trace has no such
  // request.
  RequestHistory* Find(const RequestId& request);
  // Like Find, but also adds a finding if there is no such request.
  RequestHistory* FindOrReport(const RequestId& request,
                               const std::string& place);
  void Report(const std::string& place, const RequestId& request,
              const std::string& problem);
  // Records the final response. Adds a finding and returns false if the request
  // has one already.
  bool RecordEnd(RequestHistory* history, RequestEnd end,
                 const std::string& place);

  Findings* findings_;
  std::map<RequestId, RequestHistory> requests_;
  std::map<Reason, std::uint64_t> reasons_;
  std::unique_ptr<ServingRules> rules_;
  Revision revision_ = 0;
};

}  // namespace coltsfootfork
