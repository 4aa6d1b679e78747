#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Decides when the running streams of evacuated zones migrate out: a few at a
// time, so that the transfers of all entries do not fill the links and the
// memory of the other zones' engines at once, and only for a short time.
// Streams that do not migrate finish where they run.
class EvacuationSchedule {
 public:
  // Maximum concurrent migrations of one entry.
  static constexpr std::size_t kMaxConcurrent = 2;

  // Adds streams by the numbers of their calls. Their migrations start before
  // `until`.
  void Add(const std::vector<std::uint64_t>& streams, Time until);

  // Returns the streams whose migration is to start now, while `migrating`
  // streams migrate already.
  std::vector<std::uint64_t> Next(std::size_t migrating, Time now);

  bool empty() const { return waiting_.empty(); }

 private:
  struct Waiting {
    std::uint64_t stream = 0;
    Time until;
  };
  std::deque<Waiting> waiting_;
};

}  // namespace coltsfootfork
