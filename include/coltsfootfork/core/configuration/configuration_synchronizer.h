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
  // The time between two fetches while an answer is wanted.
  std::chrono::milliseconds fetch_retry_interval{500};
  // A revision that no quorum-backed reply has confirmed for this long is
  // asked for again.
  std::chrono::milliseconds confirm_interval{5000};
  // New work is refused when a newer revision has been known of for this long
  // and is still not in force.
  std::chrono::milliseconds outdated_timeout{9000};
  // New work is refused when nothing has confirmed the revision for this long.
  std::chrono::milliseconds unconfirmed_timeout{900000};
};

enum class ConfigurationSyncOutcome : std::uint8_t {
  // Nothing new, or nothing that fits what is in force.
  kUnchanged = 0,
  // A newer configuration is in force now.
  kInForce,
  // The reply is older than what is or was in force, and is left out.
  kIgnoredOlder,
  // The content does not have the stated digest. The whole document is next.
  kDigestMismatch,
  // The document has findings; an older binary may not know a new key.
  kInvalid,
};

struct ConfigurationSyncResult {
  ConfigurationSyncOutcome outcome = ConfigurationSyncOutcome::kUnchanged;
  bool directory_changed = false;
  Findings findings;
};

// Keeps one process on the newest accepted configuration and directory. It
// never goes back: not by a late reply, nor by a replica with old state, nor
// through a restart, as long as the highest revision seen is handed in again.
class ConfigurationSynchronizer {
 public:
  // The highest revision that this process had seen before its start; zero
  // where it keeps no state.
  ConfigurationSynchronizer(ConfigurationSyncOptions options,
                            Revision highest_before_start);

  // The same as handing it to the constructor, for a process that reads its
  // data folder later. It must come before the first reply.
  void RestoreHighestSeen(Revision highest_before_start);

  // Any message of any process carried this revision.
  void OnRevisionSeen(Revision revision, Time now);

  // The leader said, backed by its quorum, that this is the current revision.
  // Replies to lease renewals say so when they grant the lease.
  void OnRevisionConfirmed(Revision revision, Time now);

  // The leader has a directory of this version.
  void OnDirectoryVersionSeen(std::uint64_t version, Time now);

  // A reply to a fetch, from the leader or from any process that has a newer
  // revision in force. Only the leader's replies confirm a revision.
  ConfigurationSyncResult OnReply(const FetchStateReply& reply, Time now);

  // The fetch to send now, if one is due.
  std::optional<FetchState> Tick(Time now);

  // What this process can give to a peer that is cut off from control: the
  // whole document, when it is newer than the peer's. It confirms nothing.
  FetchStateReply ReplyToPeer(const FetchState& fetch) const;

  // Why new requests must be refused as not run, or nothing.
  std::optional<Reason> RefusalReason(Time now) const;

  // Null until the first configuration is in force.
  const std::shared_ptr<const ServingRules>& rules() const { return rules_; }
  Revision in_force() const;
  // To be kept over a restart by processes with a data folder.
  Revision highest_seen() const { return highest_seen_; }
  // The document in force in canonical form, and its digest; for peers that
  // ask. Empty until the first configuration is in force.
  const std::string& document() const { return document_; }
  const std::string& digest() const { return digest_; }

  std::uint64_t directory_version() const { return directory_version_; }
  const std::vector<DirectoryAgent>& directory() const { return directory_; }

 private:
  bool IsOutdated() const { return highest_seen_ > in_force(); }
  ConfigurationSyncOutcome ApplyDocument(const FetchStateReply& reply,
                                         Findings& findings);
  // The document that a reply leads to, or nothing where it is damaged.
  std::optional<DocumentTree> BuildTree(const FetchStateReply& reply) const;
  bool ApplyDirectory(const FetchStateReply& reply);
  void EraseFirstSeenUpTo(Revision revision);
  bool NeedsFetch(Time now) const;

  ConfigurationSyncOptions options_;
  // No revision below this one is taken.
  Revision min_accepted_revision_;
  Revision highest_seen_;
  std::shared_ptr<const ServingRules> rules_;
  // The document in force, and what it looks like as text.
  DocumentTree tree_;
  std::string document_;
  std::string digest_;
  // When each newer revision was first heard of.
  std::map<Revision, Time> first_seen_;
  std::optional<Time> confirmed_at_;
  std::optional<Time> fetched_at_;
  bool need_full_document_ = false;
  std::uint64_t directory_version_ = 0;
  std::uint64_t highest_directory_version_seen_ = 0;
  std::vector<DirectoryAgent> directory_;
};

}  // namespace coltsfootfork
