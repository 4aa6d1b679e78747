#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <unordered_map>

#include "coltsfootfork/core/messages/request_messages.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// A request that was dispatched to the backend server and has not ended.
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
  // Index of the next expected token.
  std::uint32_t next_index = 0;
  Time started;
  Time last_progress;
  // The server has evicted its KV cache and will resume the request later.
  bool preempted = false;
  // Output tokens charged to its workspace.
  double charged_tokens = 0;
  // Predicted remaining tokens at the time when next_index was predicted_at.
  double predicted_remaining = 0;
  std::uint32_t predicted_at = 0;

  std::uint32_t generated_tokens() const { return next_index - first_index; }
  bool in_prefill() const { return generated_tokens() == 0; }
  // Current KV cache use in tokens.
  double kv_tokens() const {
    return static_cast<double>(prompt_tokens) + next_index;
  }
  // Predicted remaining tokens, at least 1.
  double remaining() const;
};

// The running requests of the backend server, ordered by id.
class RunningTable {
 public:
  using Map = std::map<RequestId, RunningRequest>;

  void Add(RunningRequest request);
  // The attempt, or nullptr if it does not run under this generation.
  RunningRequest* Find(const RequestId& request, Generation generation);
  // The request under any generation, or nullptr.
  RunningRequest* Find(const RequestId& request);
  void Remove(const RequestId& request);
  // Records one generated token.
  void Advance(RunningRequest& request, Time now);

  const Map& all() const { return requests_; }
  Map& all() { return requests_; }
  std::uint32_t size() const {
    return static_cast<std::uint32_t>(requests_.size());
  }
  std::uint32_t size(Rank rank) const { return sizes_[RankIndex(rank)]; }
  // Running requests of a workspace in all ranks.
  std::uint32_t size(const WorkspaceId& workspace) const;
  // Number of workspaces with running requests.
  std::size_t workspaces() const { return by_workspace_.size(); }
  // Prompt tokens of the requests of a rank that are still in prefill.
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
