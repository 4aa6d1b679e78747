#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace coltsfootfork {

// A string identifier whose type keeps identifiers of different kinds apart.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend bool operator==(const Id& a, const Id& b) {
    return a.value_ == b.value_;
  }
  friend bool operator!=(const Id& a, const Id& b) { return !(a == b); }
  friend bool operator<(const Id& a, const Id& b) {
    return a.value_ < b.value_;
  }
  friend std::ostream& operator<<(std::ostream& out, const Id& id) {
    return out << id.value_;
  }

 private:
  std::string value_;
};

// One request as sent by a caller, unique over all entries and restarts.
using RequestId = Id<struct RequestTag>;
// A customer, as the inventory names it.
using WorkspaceId = Id<struct WorkspaceTag>;
// A model or a plain service, as the inventory names it.
using ServiceId = Id<struct ServiceTag>;
// A backend server: an engine or a plain server, as it announces itself.
using ServerId = Id<struct ServerTag>;
// One process of this system, as its settings name it.
using ProcessId = Id<struct ProcessTag>;
// An availability zone, as the inventory names it.
using ZoneId = Id<struct ZoneTag>;
// A region: availability zones near each other.
using RegionId = Id<struct RegionTag>;

// Numbers the dispatches of one request. Frames of an older generation are
// dropped.
using Generation = std::uint32_t;
// The number of an accepted configuration; it only increases.
using Revision = std::uint64_t;

}  // namespace coltsfootfork

namespace std {
template <typename Tag>
struct hash<coltsfootfork::Id<Tag>> {
  size_t operator()(const coltsfootfork::Id<Tag>& id) const noexcept {
    return hash<string>()(id.value());
  }
};
}  // namespace std
