#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "coltsfootfork/core/messages/entry_io.h"
#include "coltsfootfork/core/messages/limit_messages.h"
#include "coltsfootfork/core/routing/entry_options.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

struct EntryState;

// Decision logic of an entry, without I/O: chooses the backend server of each
// request, determines the caller's response, and handles failures by retry or
// resume. Every request gets exactly one final effect (DeliverEnd,
// DeliverResponse or DeliverProblem) unless its caller has disconnected.
class EntryCore {
 public:
  EntryCore(EntryOptions options, std::uint64_t seed);
  ~EntryCore();
  EntryCore(EntryCore&& other) noexcept;
  EntryCore& operator=(EntryCore&& other) noexcept;

  // Processes one input and returns the resulting effects in order.
  std::vector<EntryEffect> Handle(const EntryInput& input, Time now);

  // Processes the deadlines that have expired by `now`.
  std::vector<EntryEffect> Tick(Time now);

  // The earliest known deadline, at which Tick should be called. Calling Tick
  // earlier, or when no deadline has expired, is harmless.
  std::optional<Time> NextDeadline() const;

  // Returns true when a stop has been requested and no request is open.
  bool Drained() const;

  // The demand per workspace in the last whole second, sorted by workspace.
  // Workspace limits are split among entries by this demand.
  std::vector<WorkspaceDemand> Demand(Time now) const;

  // Number of requests that have not ended, including those whose caller has
  // disconnected.
  std::size_t open_requests() const;

 private:
  std::unique_ptr<EntryState> state_;
};

}  // namespace coltsfootfork
