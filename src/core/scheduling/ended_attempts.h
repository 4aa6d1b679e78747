#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "coltsfootfork/core/messages/request_messages.h"

namespace coltsfootfork {

// Attempts that have ended, newest kept, so that a dispatch that comes twice
// does not run twice, nor after it was told not to have run.
class EndedAttempts {
 public:
  void Remember(const RequestId& request, Generation generation);

  // Whether the dispatch is an earlier one again, or an older generation. A
  // resume goes on with the newest generation and is neither.
  bool IsDuplicate(const Dispatch& dispatch) const;

  bool Contains(const RequestId& request) const {
    return generations_.count(request) > 0;
  }

  static constexpr std::size_t kMaxAttempts = 4096;

 private:
  std::unordered_map<RequestId, Generation> generations_;
  std::deque<RequestId> order_;
};

}  // namespace coltsfootfork
