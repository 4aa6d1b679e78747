#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <utility>

#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// An engine crashes if the requests that it holds exceed its memory, and no
// message says how much it has. Room for sixteen requests of the largest size
// (4 MiB), or for 20,000 ordinary ones (3 KB), which is 900 times what the 24
// slots of an engine take.
inline constexpr std::size_t kDefaultServerRequestLimit = 64U << 20U;

// Counts the bytes of requests that one entry has in progress at each server,
// and decides which servers may get another request. All entries together keep
// to the limit, since each one uses an equal share of it.
class ServerRequestBudget {
 public:
  explicit ServerRequestBudget(std::size_t limit = kDefaultServerRequestLimit)
      : limit_(limit) {}

  // Sets the number of entries that share the servers.
  void SetEntryCount(std::uint32_t count);

  void Add(const ServerId& server, std::size_t bytes);
  void Remove(const ServerId& server, std::size_t bytes);

  // Returns whether the server may get another request of so many bytes. A
  // server without a request of this entry may get one of any size, so that no
  // request is refused forever.
  bool Admits(const ServerId& server, std::size_t bytes) const;
  // Returns the servers that may not get another request of so many bytes.
  std::set<ServerId> FullServers(std::size_t bytes) const;

  // The bytes that this entry may have in progress at one server.
  std::size_t share() const { return limit_ / entries_; }
  // The bytes in progress at the server that has the most.
  std::size_t max_bytes() const;

 private:
  bool Fits(std::size_t held, std::size_t bytes) const {
    return held <= share() && bytes <= share() - held;
  }
  void SetBytes(const ServerId& server, std::size_t bytes);

  // Bytes in progress; servers without any are left out.
  std::map<ServerId, std::size_t> bytes_;
  // The same ordered by bytes, so that a server selection looks only at full
  // servers: with requests at 870 servers, a look at all took 14 us of the 20
  // us that a selection may take.
  std::set<std::pair<std::size_t, ServerId>> by_bytes_;
  std::size_t limit_;
  std::uint32_t entries_ = 1;
};

// The bytes of one request at a server, which are returned at the end of the
// object's life.
class ServerRequestBytes {
 public:
  ServerRequestBytes(std::shared_ptr<ServerRequestBudget> budget,
                     ServerId server, std::size_t bytes);
  ~ServerRequestBytes();
  ServerRequestBytes(const ServerRequestBytes&) = delete;
  ServerRequestBytes& operator=(const ServerRequestBytes&) = delete;

  void Set(std::size_t bytes);

 private:
  std::shared_ptr<ServerRequestBudget> budget_;
  ServerId server_;
  std::size_t bytes_ = 0;
};

}  // namespace coltsfootfork
