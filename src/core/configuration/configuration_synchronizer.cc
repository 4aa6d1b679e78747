#include "coltsfootfork/core/configuration/configuration_synchronizer.h"

#include <algorithm>
#include <utility>

#include "coltsfootfork/core/configuration/sha256.h"

namespace coltsfootfork {
namespace {

// Maximum number of newer revisions whose first-seen time is kept.
constexpr std::size_t kMaxFirstSeen = 64;

}  // namespace

ConfigurationSynchronizer::ConfigurationSynchronizer(
    ConfigurationSyncOptions options, Revision highest_before_start)
    : options_(options),
      min_accepted_revision_(highest_before_start),
      highest_seen_(highest_before_start) {}

Revision ConfigurationSynchronizer::in_force() const {
  return rules_ == nullptr ? 0 : rules_->revision();
}

void ConfigurationSynchronizer::RestoreHighestSeen(
    Revision highest_before_start) {
  min_accepted_revision_ =
      std::max(min_accepted_revision_, highest_before_start);
  highest_seen_ = std::max(highest_seen_, highest_before_start);
}

void ConfigurationSynchronizer::OnRevisionSeen(Revision revision, Time now) {
  if (revision <= highest_seen_) return;
  highest_seen_ = revision;
  // Only the oldest of the newer revisions determines how long this process has
  // been outdated.
  if (first_seen_.size() < kMaxFirstSeen) first_seen_.emplace(revision, now);
  // A reply in flight may predate the new revision, so fetch again at once.
  fetched_at_.reset();
}

void ConfigurationSynchronizer::OnRevisionConfirmed(Revision revision,
                                                    Time now) {
  OnRevisionSeen(revision, now);
  // A leader that reports a lower revision than this process has seen does not
  // confirm the revision in force.
  if (revision == highest_seen_ && revision == in_force() && revision != 0) {
    confirmed_at_ = now;
  }
}

void ConfigurationSynchronizer::OnDirectoryVersionSeen(std::uint64_t version,
                                                       Time /*now*/) {
  if (version <= highest_directory_version_seen_) return;
  highest_directory_version_seen_ = version;
  fetched_at_.reset();
}

ConfigurationSyncResult ConfigurationSynchronizer::OnReply(
    const FetchStateReply& reply, Time now) {
  ConfigurationSyncResult result;
  OnRevisionSeen(reply.revision, now);
  if (!reply.payload.empty()) {
    result.outcome = ApplyDocument(reply, result.findings);
  }
  if (result.outcome == ConfigurationSyncOutcome::kInForce) {
    EraseFirstSeenUpTo(reply.revision);
    if (IsOutdated() && first_seen_.empty()) {
      first_seen_.emplace(highest_seen_, now);
    }
  }
  result.directory_changed = ApplyDirectory(reply);
  if (reply.current) OnRevisionConfirmed(reply.revision, now);
  return result;
}

ConfigurationSyncOutcome ConfigurationSynchronizer::ApplyDocument(
    const FetchStateReply& reply, Findings& findings) {
  if (reply.revision < min_accepted_revision_ || reply.revision < in_force()) {
    return ConfigurationSyncOutcome::kIgnoredOlder;
  }
  if (reply.revision == in_force()) return ConfigurationSyncOutcome::kUnchanged;
  if (reply.is_patch && reply.base_revision != in_force()) {
    return ConfigurationSyncOutcome::kUnchanged;
  }
  auto tree = BuildTree(reply);
  std::string document = tree.has_value() ? tree->ToText() : std::string();
  need_full_document_ =
      !tree.has_value() || Sha256Hex(document) != reply.digest;
  if (need_full_document_) return ConfigurationSyncOutcome::kDigestMismatch;
  auto configuration = tree->ToConfiguration(findings);
  if (!configuration.has_value()) return ConfigurationSyncOutcome::kInvalid;
  configuration->revision = reply.revision;
  rules_ = std::make_shared<const ServingRules>(
      std::make_shared<const Configuration>(std::move(*configuration)));
  tree_ = std::move(*tree);
  document_ = std::move(document);
  digest_ = reply.digest;
  return ConfigurationSyncOutcome::kInForce;
}

std::optional<DocumentTree> ConfigurationSynchronizer::BuildTree(
    const FetchStateReply& reply) const {
  if (!reply.is_patch) return DocumentTree::Read(reply.payload);
  DocumentTree tree = tree_;
  if (!tree.Patch(reply.payload)) return std::nullopt;
  return tree;
}

bool ConfigurationSynchronizer::ApplyDirectory(const FetchStateReply& reply) {
  if (!reply.current || reply.directory_version <= directory_version_) {
    return false;
  }
  directory_version_ = reply.directory_version;
  highest_directory_version_seen_ =
      std::max(highest_directory_version_seen_, directory_version_);
  directory_ = reply.directory;
  return true;
}

void ConfigurationSynchronizer::EraseFirstSeenUpTo(Revision revision) {
  first_seen_.erase(first_seen_.begin(), first_seen_.upper_bound(revision));
}

bool ConfigurationSynchronizer::NeedsFetch(Time now) const {
  return IsOutdated() || need_full_document_ || !confirmed_at_.has_value() ||
         highest_directory_version_seen_ > directory_version_ ||
         now - *confirmed_at_ >= options_.confirm_interval;
}

std::optional<FetchState> ConfigurationSynchronizer::Tick(Time now) {
  const bool awaiting_reply =
      fetched_at_.has_value() &&
      now - *fetched_at_ < options_.fetch_retry_interval;
  if (awaiting_reply || !NeedsFetch(now)) return std::nullopt;
  fetched_at_ = now;
  return FetchState{in_force(), directory_version_, need_full_document_};
}

FetchStateReply ConfigurationSynchronizer::ReplyToPeer(
    const FetchState& fetch) const {
  FetchStateReply reply;
  reply.revision = in_force();
  if (fetch.have_revision >= in_force()) return reply;
  reply.payload = document_;
  reply.digest = digest_;
  return reply;
}

std::optional<Reason> ConfigurationSynchronizer::RefusalReason(Time now) const {
  if (rules_ == nullptr) return Reason::kNotConfigured;
  if (!confirmed_at_.has_value()) return Reason::kRevisionUnconfirmed;
  const bool is_outdated =
      !first_seen_.empty() &&
      now - first_seen_.begin()->second >= options_.outdated_timeout;
  const bool unconfirmed = now - *confirmed_at_ >= options_.unconfirmed_timeout;
  if (is_outdated || unconfirmed) return Reason::kRevisionUnconfirmed;
  return std::nullopt;
}

}  // namespace coltsfootfork
