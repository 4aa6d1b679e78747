#include "core/routing/prefix_hints.h"

#include <algorithm>

namespace coltsfootfork {

void PrefixHints::Apply(ServerIndex server, const CacheHint& hint) {
  if (server >= servers_.size()) servers_.resize(server + 1);
  ServerBlocks& blocks = servers_[server];
  if (blocks.has_sequence) {
    if (hint.sequence <= blocks.sequence) return;
    // A missed event may have removed any of the blocks.
    if (hint.sequence != blocks.sequence + 1) Clear(server);
  }
  blocks.has_sequence = true;
  blocks.sequence = hint.sequence;
  for (const std::uint64_t block : hint.removed_blocks) Remove(server, block);
  for (const std::uint64_t block : hint.added_blocks) Add(server, block);
}

void PrefixHints::AddExpected(ServerIndex server,
                              const std::vector<std::uint64_t>& blocks) {
  if (server >= servers_.size()) servers_.resize(server + 1);
  for (const std::uint64_t block : blocks) Add(server, block);
}

void PrefixHints::Forget(ServerIndex server) {
  if (server >= servers_.size()) return;
  Clear(server);
  servers_[server].has_sequence = false;
}

std::size_t PrefixHints::MatchedBlocks(
    ServerIndex server, const std::vector<std::uint64_t>& blocks) const {
  if (server >= servers_.size()) return 0;
  const auto& cached = servers_[server].cached;
  const auto missing = std::find_if(
      blocks.begin(), blocks.end(),
      [&](std::uint64_t block) { return cached.count(block) == 0; });
  return static_cast<std::size_t>(missing - blocks.begin());
}

std::vector<ServerIndex> PrefixHints::ServersWithLongestPrefix(
    const std::vector<std::uint64_t>& blocks) const {
  // A server that has cached a block has also cached the blocks before it, so
  // the cached blocks form a prefix of the list.
  const auto end = std::partition_point(
      blocks.begin(), blocks.end(),
      [&](std::uint64_t block) { return IsCached(block); });
  if (end == blocks.begin()) return {};
  return servers_by_block_.at(*(end - 1));
}

std::size_t PrefixHints::size() const {
  std::size_t count = 0;
  for (const ServerBlocks& server : servers_) count += server.cached.size();
  return count;
}

void PrefixHints::Add(ServerIndex server, std::uint64_t block) {
  ServerBlocks& blocks = servers_[server];
  if (!blocks.cached.insert(block).second) return;
  blocks.insertion_order.push_back(block);
  std::vector<ServerIndex>& block_servers = servers_by_block_[block];
  block_servers.insert(
      std::lower_bound(block_servers.begin(), block_servers.end(), server),
      server);
  while (blocks.insertion_order.size() > blocks_per_server_) {
    const std::uint64_t oldest = blocks.insertion_order.front();
    blocks.insertion_order.pop_front();
    Remove(server, oldest);
  }
}

void PrefixHints::Remove(ServerIndex server, std::uint64_t block) {
  if (servers_[server].cached.erase(block) == 0) return;
  const auto found = servers_by_block_.find(block);
  std::vector<ServerIndex>& block_servers = found->second;
  block_servers.erase(
      std::lower_bound(block_servers.begin(), block_servers.end(), server));
  if (block_servers.empty()) servers_by_block_.erase(found);
}

void PrefixHints::Clear(ServerIndex server) {
  ServerBlocks& blocks = servers_[server];
  for (const std::uint64_t block : blocks.insertion_order) {
    Remove(server, block);
  }
  blocks.insertion_order.clear();
}

}  // namespace coltsfootfork
