#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "coltsfootfork/core/messages/request_messages.h"

namespace coltsfootfork {

// Index of a server's row in the server table.
using ServerIndex = std::uint32_t;

// Tracks which servers probably have which prompt blocks in their cache. Cache
// events arrive late and with gaps, so the information may be wrong.
class PrefixHints {
 public:
  explicit PrefixHints(std::size_t blocks_per_server)
      : blocks_per_server_(blocks_per_server) {}

  // Applies a cache event. An event with an old sequence number is ignored; an
  // event after a gap first clears the server's blocks.
  void Apply(ServerIndex server, const CacheHint& hint);

  // Adds the blocks that a just dispatched request will put into the server's
  // cache.
  void AddExpected(ServerIndex server,
                   const std::vector<std::uint64_t>& blocks);

  // Clears the blocks and the sequence number of a server.
  void Forget(ServerIndex server);

  // The number of leading blocks that the server has probably cached.
  std::size_t MatchedBlocks(ServerIndex server,
                            const std::vector<std::uint64_t>& blocks) const;

  // The servers that have probably cached the longest prefix, sorted by index.
  std::vector<ServerIndex> ServersWithLongestPrefix(
      const std::vector<std::uint64_t>& blocks) const;

  // Number of tracked blocks over all servers.
  std::size_t size() const;

 private:
  struct ServerBlocks {
    bool has_sequence = false;
    std::uint64_t sequence = 0;
    std::unordered_set<std::uint64_t> cached;
    // The cached blocks and some removed ones, oldest first.
    std::deque<std::uint64_t> insertion_order;
  };

  void Add(ServerIndex server, std::uint64_t block);
  void Remove(ServerIndex server, std::uint64_t block);
  void Clear(ServerIndex server);
  bool IsCached(std::uint64_t block) const {
    return servers_by_block_.count(block) > 0;
  }

  std::size_t blocks_per_server_;
  std::vector<ServerBlocks> servers_;
  // For each block the servers that have cached it, sorted by index.
  std::unordered_map<std::uint64_t, std::vector<ServerIndex>> servers_by_block_;
};

}  // namespace coltsfootfork
