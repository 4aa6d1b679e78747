#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "coltsfootfork/core/messages/request_messages.h"

namespace coltsfootfork {

// The attempts that were handed over and have ended, newest kept, so that a
// dispatch that comes twice does not run twice.
class EndedAttempts {
 public:
  void Remember(const RequestId& request, Generation generation);

  // Whether the dispatch is an earlier one again, or an older generation. A
  // resume goes on with the newest generation and is neither.
  bool IsRepeat(const Dispatch& dispatch) const;

  static constexpr std::size_t kMost = 4096;

 private:
  std::unordered_map<RequestId, Generation> generations_;
  std::deque<RequestId> order_;
};

}  // namespace coltsfootfork
