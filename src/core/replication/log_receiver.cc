#include "core/replication/log_receiver.h"

#include <algorithm>
#include <utility>

namespace coltsfootfork {
namespace {

bool IsConsecutive(const AppendRequest& request) {
  LogIndex expected = request.prev_index;
  return std::all_of(
      request.entries.begin(), request.entries.end(),
      [&](const LogEntry& entry) { return entry.index == ++expected; });
}

}  // namespace

void LogReceiver::OnAppend(const ReplicaId& from, const AppendRequest& request,
                           Time now) {
  if (!IsConsecutive(request)) return;
  if (!AcceptLeader(from, request.term, now)) return;
  AppendReply reply;
  reply.term = request.term;
  reply.sent_ms = request.sent_ms;
  reply.accepted = MatchesLog(request);
  if (reply.accepted) StoreEntries(request);
  reply.index = request.prev_index;
  if (reply.accepted) {
    reply.index += request.entries.size();
  } else {
    reply.hint = ConflictHint(request);
  }
  state_.SendSynced(from, reply);
}

bool LogReceiver::AcceptLeader(const ReplicaId& from, Term term, Time now) {
  const ReplicaRole role = state_.role();
  if (term < state_.hard.term) {
    state_.SendSynced(from, StaleTermReply{state_.hard.term});
    return false;
  }
  if (term == state_.hard.term && role == ReplicaRole::kLeader) return false;
  if (term > state_.hard.term || role == ReplicaRole::kPreCandidate ||
      role == ReplicaRole::kCandidate) {
    state_.StepDown(term, now);
  }
  state_.OnLeaderContact(from, now);
  return true;
}

bool LogReceiver::MatchesLog(const AppendRequest& request) const {
  // The leader has all entries that are committed here.
  if (request.prev_index <= state_.commit) return true;
  return state_.log.TermAt(request.prev_index) == request.prev_term;
}

LogIndex LogReceiver::ConflictHint(const AppendRequest& request) const {
  if (request.prev_index > state_.log.last_index()) {
    return state_.log.last_index();
  }
  const LogIndex first = state_.log.FirstOfTerm(request.prev_index);
  return std::max(state_.commit, first - 1);
}

void LogReceiver::StoreEntries(const AppendRequest& request) {
  for (const LogEntry& entry : request.entries) {
    if (entry.index <= state_.commit) continue;
    const std::optional<Term> existing_term = state_.log.TermAt(entry.index);
    if (existing_term == entry.term) continue;
    if (existing_term) state_.TruncateFrom(entry.index);
    state_.AppendEntry(entry);
  }
  const LogIndex matched = request.prev_index + request.entries.size();
  state_.commit = std::max(state_.commit, std::min(request.commit, matched));
}

void LogReceiver::OnChunk(const ReplicaId& from, const SnapshotChunk& chunk,
                          Time now) {
  if (!AcceptLeader(from, chunk.term, now)) return;
  if (chunk.index != partial_.index || chunk.snapshot_term != partial_.term) {
    partial_ = {chunk.index, chunk.snapshot_term, {}};
  }
  if (chunk.index > state_.commit && chunk.offset == partial_.bytes.size()) {
    partial_.bytes += chunk.data;
    if (partial_.bytes.size() >= chunk.total_bytes) InstallSnapshot(chunk);
  }
  SnapshotReply reply;
  reply.term = chunk.term;
  reply.index = chunk.index;
  reply.sent_ms = chunk.sent_ms;
  reply.complete = chunk.index <= state_.commit;
  reply.next_offset = partial_.bytes.size();
  state_.SendSynced(from, reply);
}

void LogReceiver::InstallSnapshot(const SnapshotChunk& chunk) {
  Snapshot snapshot{chunk.index, chunk.snapshot_term, chunk.membership,
                    std::move(partial_.bytes)};
  partial_ = {};
  const bool keeps_tail = state_.log.TermAt(chunk.index) == chunk.snapshot_term;
  Persist& staged = state_.outbox.staged();
  staged.snapshot = snapshot;
  staged.snapshot_resets_log = !keeps_tail;
  state_.commit = snapshot.index;
  state_.applied = snapshot.index;
  state_.outbox.Emit(ApplySnapshot{snapshot.index, snapshot.bytes});
  state_.Emit(ReplicaEventKind::kSnapshotInstalled, snapshot.index, {});
  if (keeps_tail) {
    state_.log.Compact(std::move(snapshot), 0);
  } else {
    state_.log.Reset(std::move(snapshot));
  }
  state_.UpdateRoleFromMembership();
}

}  // namespace coltsfootfork
