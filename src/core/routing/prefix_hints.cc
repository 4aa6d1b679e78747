#include "core/routing/prefix_hints.h"

#include <algorithm>

namespace coltsfootfork {

void PrefixHints::Apply(ServerIndex server, const CacheHint& hint) {
  if (server >= servers_.size()) servers_.resize(server + 1);
  ServerBlocks& blocks = servers_[server];
  if (blocks.has_sequence) {
    if (hint.sequence <= blocks.sequence) return;
    // A missed event may have removed any block.
    if (hint.sequence != blocks.sequence + 1) Clear(server);
  }
  blocks.has_sequence = true;
  blocks.sequence = hint.sequence;
  for (const std::uint64_t block : hint.removed_blocks) Remove(server, block);
  for (const std::uint64_t block : hint.added_blocks) Add(server, block);
}

void PrefixHints::Expect(ServerIndex server,
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
  const auto& held = servers_[server].held;
  const auto missing =
      std::find_if(blocks.begin(), blocks.end(),
                   [&](std::uint64_t block) { return held.count(block) == 0; });
  return static_cast<std::size_t>(missing - blocks.begin());
}

std::vector<ServerIndex> PrefixHints::LongestHolders(
    const std::vector<std::uint64_t>& blocks) const {
  // A server that holds a block holds those before it, so the blocks that
  // somebody holds come first.
  const auto end =
      std::partition_point(blocks.begin(), blocks.end(),
                           [&](std::uint64_t block) { return Held(block); });
  if (end == blocks.begin()) return {};
  return holders_.at(*(end - 1));
}

std::size_t PrefixHints::size() const {
  std::size_t count = 0;
  for (const ServerBlocks& server : servers_) count += server.held.size();
  return count;
}

void PrefixHints::Add(ServerIndex server, std::uint64_t block) {
  ServerBlocks& blocks = servers_[server];
  if (!blocks.held.insert(block).second) return;
  blocks.order.push_back(block);
  std::vector<ServerIndex>& holders = holders_[block];
  holders.insert(std::lower_bound(holders.begin(), holders.end(), server),
                 server);
  while (blocks.order.size() > blocks_per_server_) {
    const std::uint64_t oldest = blocks.order.front();
    blocks.order.pop_front();
    Remove(server, oldest);
  }
}

void PrefixHints::Remove(ServerIndex server, std::uint64_t block) {
  if (servers_[server].held.erase(block) == 0) return;
  const auto found = holders_.find(block);
  std::vector<ServerIndex>& holders = found->second;
  holders.erase(std::lower_bound(holders.begin(), holders.end(), server));
  if (holders.empty()) holders_.erase(found);
}

void PrefixHints::Clear(ServerIndex server) {
  ServerBlocks& blocks = servers_[server];
  for (const std::uint64_t block : blocks.order) Remove(server, block);
  blocks.order.clear();
}

}  // namespace coltsfootfork
