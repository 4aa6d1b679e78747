#include "shell/replica/input_queue.h"

#include <utility>

namespace coltsfootfork {

InputQueue::InputQueue(Handler handler) : handler_(std::move(handler)) {}

void InputQueue::Add(ReplicaInput input) {
  inputs_.push_back(std::move(input));
  if (!is_handling_) HandleAll();
}

void InputQueue::Run(const std::function<void()>& work) {
  is_handling_ = true;
  work();
  HandleAll();
}

void InputQueue::HandleAll() {
  is_handling_ = true;
  while (!inputs_.empty()) {
    const ReplicaInput next = std::move(inputs_.front());
    inputs_.pop_front();
    handler_(next);
  }
  is_handling_ = false;
}

}  // namespace coltsfootfork
