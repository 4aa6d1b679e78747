#pragma once

#include <memory>
#include <utility>

namespace coltsfootfork {

// The lifetime of an object whose handlers may come after it: the event loop
// still calls what was due when the object went. A member that is declared last
// guards what the object starts.
class Lifetime {
 public:
  // The handler, doing nothing once the object is gone.
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
