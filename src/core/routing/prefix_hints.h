#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "coltsfootfork/core/messages/request_messages.h"

namespace coltsfootfork {

// The place of a server in the server table.
using ServerIndex = std::uint32_t;

// Which servers probably hold which prompt blocks. Events about it come late
// and with gaps, so everything here is a hint that may be wrong.
class PrefixHints {
 public:
  explicit PrefixHints(std::size_t blocks_per_server)
      : blocks_per_server_(blocks_per_server) {}

  // Takes an event. One that was seen before changes nothing; one after a gap
  // drops all that was known of the server before it.
  void Apply(ServerIndex server, const CacheHint& hint);

  // Notes blocks that a request just sent will leave on the server.
  void AddExpected(ServerIndex server,
                   const std::vector<std::uint64_t>& blocks);

  // Drops all that is known of a server, its sequence included.
  void Forget(ServerIndex server);

  // How many of the leading blocks the server probably holds.
  std::size_t MatchedBlocks(ServerIndex server,
                            const std::vector<std::uint64_t>& blocks) const;

  // The servers that probably hold the longest prefix, in order of index.
  std::vector<ServerIndex> ServersWithLongestPrefix(
      const std::vector<std::uint64_t>& blocks) const;

  // Blocks known over all servers.
  std::size_t size() const;

 private:
  struct ServerBlocks {
    bool has_sequence = false;
    std::uint64_t sequence = 0;
    std::unordered_set<std::uint64_t> cached;
    // The held blocks and some removed ones, oldest first.
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
  // For each block its servers in order of index.
  std::unordered_map<std::uint64_t, std::vector<ServerIndex>> servers_by_block_;
};

}  // namespace coltsfootfork
