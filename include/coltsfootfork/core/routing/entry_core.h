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

// The decisions of an entry: which backend server runs a request, what the
// caller gets, and what happens when something on the way fails. Every caller
// request gets exactly one final effect: DeliverEnd, DeliverResponse or
// DeliverProblem, unless its caller is gone.
class EntryCore {
 public:
  EntryCore(EntryOptions options, std::uint64_t seed);
  ~EntryCore();
  EntryCore(EntryCore&& other) noexcept;
  EntryCore& operator=(EntryCore&& other) noexcept;

  // Takes one input and returns what follows from it, in order.
  std::vector<EntryEffect> Handle(const EntryInput& input, Time now);

  // Acts on what is due by `now`.
  std::vector<EntryEffect> Tick(Time now);

  // When Tick has something to do next, as far as is known. It may be called
  // earlier or, harmlessly, find nothing due.
  std::optional<Time> NextDeadline() const;

  // Whether a requested stop has nothing left to wait for.
  bool Drained() const;

  // What callers of each workspace asked of this entry in the last second, in
  // order of workspace. The parts of its limits are cut to it.
  std::vector<WorkspaceDemand> Demand(Time now) const;

  // Requests that have not ended, those whose caller is gone included.
  std::size_t open_requests() const;

 private:
  std::unique_ptr<EntryState> state_;
};

}  // namespace coltsfootfork
