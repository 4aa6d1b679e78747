#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace coltsfootfork {

// What a process holds bytes for.
enum class HeldBytesPurpose : std::uint8_t {
  // Requests of calls in progress, and their copies while these are written to
  // servers.
  kRequest = 0,
  // Responses that are buffered until they are complete.
  kResponse,
  // Response bytes that are not yet written to callers.
  kDelivery,
};

// The limit if the memory of the host is not known.
inline constexpr std::size_t kDefaultHeldBytesLimit = 64U << 20U;

// Returns a limit that fits a host with so much memory: a quarter of it, since
// requests that are being read may need another quarter.
std::size_t HeldBytesLimitForHost(std::optional<std::size_t> memory_bytes);

// Counts the bytes that a process holds for callers and servers, and decides
// what may be added. Not all that is added asks first: a response that a server
// has sent is delivered even if it exceeds the limit.
class HeldBytesBudget {
 public:
  // A slow caller's backlog up to this size never stops its stream: a few reads
  // from a server.
  static constexpr std::size_t kMinBacklog = 64U << 10U;
  // Requests up to this size are admitted as long as anything is free.
  static constexpr std::size_t kSmallRequestBytes = 64U << 10U;

  explicit HeldBytesBudget(std::size_t limit = kDefaultHeldBytesLimit)
      : limit_(limit) {}

  void Add(HeldBytesPurpose purpose, std::size_t bytes);
  void Remove(HeldBytesPurpose purpose, std::size_t bytes);

  // Returns whether a new call whose request has so many bytes may run. A
  // larger request leaves an eighth of the limit to small ones. If nothing is
  // held, each request is admitted.
  bool AdmitsRequest(std::size_t bytes) const;
  // Returns how many bytes one stream may hold for a caller that does not read
  // them: an eighth of what is free, so that n equal slow callers end at
  // 1/(n + 8) of the limit each and leave as much for others as eight of them
  // hold.
  std::size_t AllowedBacklog() const;

  std::size_t bytes(HeldBytesPurpose purpose) const {
    return bytes_[static_cast<std::size_t>(purpose)];
  }
  std::size_t total() const;
  std::size_t limit() const { return limit_; }

 private:
  std::size_t free() const;

  static constexpr std::size_t kPurposes = 3;

  std::size_t limit_;
  std::array<std::size_t, kPurposes> bytes_ = {};
};

// A share of the budget, which is returned at the end of the object's life.
class HeldBytes {
 public:
  HeldBytes(std::shared_ptr<HeldBytesBudget> budget, HeldBytesPurpose purpose);
  ~HeldBytes();
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;

  void Set(std::size_t bytes);

 private:
  std::shared_ptr<HeldBytesBudget> budget_;
  HeldBytesPurpose purpose_;
  std::size_t bytes_ = 0;
};

}  // namespace coltsfootfork
