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

// The state that the replicated log drives: configuration, answers to changes
// and claims. The same commands in the same order give the same state on every
// replica and in every later version of this code. For that reason it does not
// check documents against the table of keys: the leader does so before it
// proposes a change, and a replica with an older binary must still follow.
class ControlState {
 public:
  explicit ControlState(ClaimLimits limits = {}) : claims_(limits) {}

  // Applies a committed command. Requests that only read or renew do not
  // belong into the log and get a default reply.
  ControlReply Apply(const ControlCommand& command);

  // The whole state as bytes, the same for equal states.
  std::string Snapshot() const;
  // Replaces the state. False, and nothing changed, where bytes are damaged.
  bool Restore(std::string_view bytes);

  // The configuration as of a known revision, as a patch where one is kept
  // and smaller than the document. Neither "current" nor a directory is set.
  FetchStateReply Fetch(const FetchState& request) const;

  // Zero until the first configuration is accepted.
  Revision revision() const { return revision_; }
  const DocumentTree& tree() const { return tree_; }
  // In canonical form; empty at revision zero.
  const std::string& document() const;
  const std::string& digest() const { return digest_; }
  // The change that made the current revision.
  const std::string& change_id() const { return change_id_; }
  // The latest time that the log has stated.
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
  // The tree as text, written when it is first asked for after a change: a
  // replay of many changes has no use for the texts in between.
  mutable std::string document_;
  mutable bool document_stale_ = false;
  std::string digest_;
  std::string change_id_;
  // Rules of the document that the state itself obeys.
  std::chrono::milliseconds claim_retention_{std::chrono::hours(24)};
  DeltaHistory deltas_;
  ChangeReplyCache change_replies_;
  ClaimTable claims_;
};

}  // namespace coltsfootfork
