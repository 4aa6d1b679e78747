#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coltsfootfork/core/configuration/document_tree.h"
#include "coltsfootfork/core/configuration/serving_rules.h"
#include "coltsfootfork/core/messages/control_messages.h"
#include "coltsfootfork/core/types/finding.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/reason.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

struct ConfigurationSyncOptions {
  // Minimum time between two fetches while no reply has arrived.
  std::chrono::milliseconds fetch_retry_interval{500};
  // The process fetches again when no quorum-backed reply has confirmed its
  // revision for this long.
  std::chrono::milliseconds confirm_interval{5000};
  // New work is refused when a newer revision has been known for this long and
  // is still not in force.
  std::chrono::milliseconds outdated_timeout{9000};
  // New work is refused when no reply has confirmed the revision for this long.
  std::chrono::milliseconds unconfirmed_timeout{900000};
};

enum class ConfigurationSyncOutcome : std::uint8_t {
  // The reply has no newer document, or a patch from another base revision.
  kUnchanged = 0,
  // The reply put a newer configuration in force.
  kInForce,
  // The reply is older than a revision that is or was in force.
  kIgnoredOlder,
  // The content doesn't match the digest; the next fetch requests the whole
  // document.
  kDigestMismatch,
  // The document has findings, for example because this binary is older and
  // doesn't know a new key.
  kInvalid,
};

struct ConfigurationSyncResult {
  ConfigurationSyncOutcome outcome = ConfigurationSyncOutcome::kUnchanged;
  bool directory_changed = false;
  Findings findings;
};

// Keeps one process at the latest accepted configuration and directory. The
// revision never decreases: neither on a delayed reply nor on a reply from a
// replica with outdated state, nor across a restart if the highest revision
// seen is restored.
class ConfigurationSynchronizer {
 public:
  // `highest_before_start` is the highest revision that this process had seen
  // before its start, or zero if the process keeps no state.
  ConfigurationSynchronizer(ConfigurationSyncOptions options,
                            Revision highest_before_start);

  // Same as the constructor argument, for a process that reads its data folder
  // later. Must be called before the first reply.
  void RestoreHighestSeen(Revision highest_before_start);

  // Called for the revision that a message from any process carries.
  void OnRevisionSeen(Revision revision, Time now);

  // Called when the leader, backed by its quorum, reports this revision as
  // current. The reply to a lease renewal does so if it grants the lease.
  void OnRevisionConfirmed(Revision revision, Time now);

  // Called when the leader reports this directory version.
  void OnDirectoryVersionSeen(std::uint64_t version, Time now);

  // Handles the reply to a fetch, from the leader or from any process with a
  // newer revision in force. Only the leader's replies confirm a revision.
  ConfigurationSyncResult OnReply(const FetchStateReply& reply, Time now);

  // Returns the fetch to send now, if one is due.
  std::optional<FetchState> Tick(Time now);

  // Returns the reply to a peer that is disconnected from the control
  // processes: the whole document if it is newer than the peer's. The reply
  // doesn't confirm a revision.
  FetchStateReply ReplyToPeer(const FetchState& fetch) const;

  // Returns the reason to refuse new requests as not run, if there is one.
  std::optional<Reason> RefusalReason(Time now) const;

  // Null until the first configuration is in force.
  const std::shared_ptr<const ServingRules>& rules() const { return rules_; }
  Revision in_force() const;
  // Processes with a data folder must persist this value across a restart.
  Revision highest_seen() const { return highest_seen_; }
  // The document in force in canonical form, and its digest. Empty until the
  // first configuration is in force.
  const std::string& document() const { return document_; }
  const std::string& digest() const { return digest_; }

  std::uint64_t directory_version() const { return directory_version_; }
  const std::vector<DirectoryAgent>& directory() const { return directory_; }

 private:
  bool IsOutdated() const { return highest_seen_ > in_force(); }
  ConfigurationSyncOutcome ApplyDocument(const FetchStateReply& reply,
                                         Findings& findings);
  // Returns the document that the reply contains or patches to, or std::nullopt
  // if the payload is corrupt.
  std::optional<DocumentTree> BuildTree(const FetchStateReply& reply) const;
  bool ApplyDirectory(const FetchStateReply& reply);
  void EraseFirstSeenUpTo(Revision revision);
  bool NeedsFetch(Time now) const;

  ConfigurationSyncOptions options_;
  // Lower revisions are rejected.
  Revision min_accepted_revision_;
  Revision highest_seen_;
  std::shared_ptr<const ServingRules> rules_;
  // The document in force as a tree and as text.
  DocumentTree tree_;
  std::string document_;
  std::string digest_;
  // The time at which each revision newer than the one in force was first seen.
  std::map<Revision, Time> first_seen_;
  std::optional<Time> confirmed_at_;
  std::optional<Time> fetched_at_;
  bool need_full_document_ = false;
  std::uint64_t directory_version_ = 0;
  std::uint64_t highest_directory_version_seen_ = 0;
  std::vector<DirectoryAgent> directory_;
};

}  // namespace coltsfootfork
