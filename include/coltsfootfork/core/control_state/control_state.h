#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "coltsfootfork/core/configuration/document_tree.h"
#include "coltsfootfork/core/control_state/change_reply_cache.h"
#include "coltsfootfork/core/control_state/claim_table.h"
#include "coltsfootfork/core/control_state/control_command.h"
#include "coltsfootfork/core/control_state/delta_history.h"
#include "coltsfootfork/core/messages/control_messages.h"

namespace coltsfootfork {

// The replicated state machine: configuration, replies to changes and claims.
// The same commands in the same order produce the same state on every replica
// and in every later version of this code. Documents are therefore not checked
// against the table of keys here: the leader does so before it proposes a
// change, and a replica with an older binary must still apply the change.
class ControlState {
 public:
  explicit ControlState(ClaimLimits limits = {}) : claims_(limits) {}

  // Applies a committed command. Reads and lease renewals don't belong in the
  // log and receive a default reply.
  ControlReply Apply(const ControlCommand& command);

  // Serializes the whole state. Equal states have equal snapshots.
  std::string Snapshot() const;
  // Replaces the state. Returns false and leaves the state unchanged if the
  // bytes are corrupt.
  bool Restore(std::string_view bytes);

  // Returns the current configuration, as a patch from the requester's revision
  // if the patch is still kept and smaller than the document. Leaves `current`
  // and the directory unset.
  FetchStateReply Fetch(const FetchState& request) const;

  // Zero until the first configuration is accepted.
  Revision revision() const { return revision_; }
  const DocumentTree& tree() const { return tree_; }
  // The document in canonical form; empty at revision zero.
  const std::string& document() const;
  const std::string& digest() const { return digest_; }
  // The Change-Id of the change that produced the current revision.
  const std::string& change_id() const { return change_id_; }
  // The latest command time in the log.
  std::chrono::milliseconds clock() const { return clock_; }
  std::size_t claim_count() const { return claims_.size(); }

 private:
  ControlReply Put(const PutConfiguration& put);
  PutConfigurationReply ApplyIfCurrent(const PutConfiguration& put);
  bool ApplyChange(const PutConfiguration& put);
  std::optional<std::string> ApplyPatch(const PutConfiguration& put);
  std::optional<std::string> ApplyFullDocument(const PutConfiguration& put);
  void UpdateRules();

  std::chrono::milliseconds clock_{0};
  Revision revision_ = 0;
  DocumentTree tree_;
  // The serialized tree, computed on demand: a replay of many changes doesn't
  // need the documents in between.
  mutable std::string document_;
  mutable bool document_stale_ = false;
  std::string digest_;
  std::string change_id_;
  // From the rules of the current document.
  std::chrono::milliseconds claim_retention_{std::chrono::hours(24)};
  DeltaHistory deltas_;
  ChangeReplyCache change_replies_;
  ClaimTable claims_;
};

}  // namespace coltsfootfork
