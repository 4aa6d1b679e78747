#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "coltsfootfork/core/messages/request_messages.h"

namespace coltsfootfork {

// The most recent ended attempts. Prevents a duplicate dispatch from running
// twice, or from running after its entry was informed that it did not run.
class EndedAttempts {
 public:
  void Remember(const RequestId& request, Generation generation);

  // True for a duplicate of an ended attempt or an older generation. A resume
  // continues the newest generation and is not a duplicate.
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
