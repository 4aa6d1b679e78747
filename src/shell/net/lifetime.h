#pragma once

#include <memory>
#include <utility>

namespace coltsfootfork {

// Prevents asynchronous handlers from running after their object has been
// destroyed: the event loop still calls handlers that were already queued then.
// Declare it as the last member of the object.
class Lifetime {
 public:
  // Wraps the handler so that it does nothing after the object's destruction.
  template <typename Handler>
  auto Guard(Handler handler) const {
    return [alive = std::weak_ptr<bool>(alive_),
            handler = std::move(handler)](auto&&... arguments) mutable {
      if (!alive.expired()) {
        handler(std::forward<decltype(arguments)>(arguments)...);
      }
    };
  }

 private:
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace coltsfootfork
