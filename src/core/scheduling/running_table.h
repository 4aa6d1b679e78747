#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <unordered_map>

#include "coltsfootfork/core/messages/request_messages.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// A request that was handed over to the backend server and has not ended.
struct RunningRequest {
  ProcessId entry;
  RequestId request;
  Generation generation = 1;
  WorkspaceId workspace;
  ServiceId service;
  Rank rank = Rank::kDeferrable;
  RequestKind kind = RequestKind::kGeneration;
  bool non_idempotent = false;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  std::uint32_t first_index = 0;
  // The index of the next token to come.
  std::uint32_t next_index = 0;
  Time started;
  Time last_progress;
  // The server has dropped its memory and goes on later.
  bool preempted = false;
  // Output tokens that its workspace was charged with.
  double charged_tokens = 0;
  // Tokens predicted to be left when next_index was predicted_at.
  double predicted_remaining = 0;
  std::uint32_t predicted_at = 0;

  std::uint32_t generated_tokens() const { return next_index - first_index; }
  bool in_prefill() const { return generated_tokens() == 0; }
  // Tokens of key/value memory held now.
  double kv_tokens() const {
    return static_cast<double>(prompt_tokens) + next_index;
  }
  // Tokens predicted to be left now.
  double remaining() const;
};

// The requests that the backend server runs, in the order of their ids.
class RunningTable {
 public:
  using Map = std::map<RequestId, RunningRequest>;

  void Add(RunningRequest request);
  // The attempt, or nothing when it does not run under this generation.
  RunningRequest* Find(const RequestId& request, Generation generation);
  // The request under whichever generation.
  RunningRequest* Find(const RequestId& request);
  void Remove(const RequestId& request);
  // Takes one token into account.
  void Advance(RunningRequest& request, Time now);

  const Map& all() const { return requests_; }
  Map& all() { return requests_; }
  std::uint32_t size() const {
    return static_cast<std::uint32_t>(requests_.size());
  }
  std::uint32_t size(Rank rank) const { return sizes_[RankIndex(rank)]; }
  // Requests of a workspace in any rank.
  std::uint32_t size(const WorkspaceId& workspace) const;
  // Workspaces with running requests.
  std::size_t workspaces() const { return by_workspace_.size(); }
  // Prompt tokens of requests of a rank without a first token.
  std::uint64_t prefill_tokens(Rank rank) const {
    return prefill_tokens_[RankIndex(rank)];
  }

 private:
  Map requests_;
  std::array<std::uint32_t, kRankCount> sizes_{};
  std::unordered_map<WorkspaceId, std::uint32_t> by_workspace_;
  std::array<std::uint64_t, kRankCount> prefill_tokens_{};
};

}  // namespace coltsfootfork
