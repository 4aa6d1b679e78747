#pragma once

#include <cstdint>

#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// A call whose prefill is being measured: no other was pending at its server
// when it was sent.
struct PrefillMeasurement {
  ServerId server;
  std::uint64_t incarnation = 0;
  std::uint64_t prompt_tokens = 0;
  Time sent_at;
  // Number of the last prefill at the server that the entry knew of. A higher
  // number at the first event means that another one was pending meanwhile.
  std::uint64_t last_prefill = 0;
};

}  // namespace coltsfootfork
