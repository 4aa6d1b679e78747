#include "core/replication/state_machine_applier.h"

#include <utility>

namespace coltsfootfork {

const LogEntry* StateMachineApplier::ApplyNext() {
  RestoreRecoveredSnapshot();
  if (state_.applied >= state_.commit) return nullptr;
  const LogEntry* entry = state_.log.At(state_.applied + 1);
  if (entry == nullptr) return nullptr;
  ++state_.applied;
  applied_bytes_ += EntryBytes(*entry);
  if (entry->kind == EntryKind::kCommand) {
    state_.outbox.Emit(ApplyCommand{entry->index, entry->term, entry->command});
  }
  return entry;
}

void StateMachineApplier::RestoreRecoveredSnapshot() {
  if (restored_) return;
  restored_ = true;
  const auto& snapshot = state_.log.snapshot();
  if (!snapshot || state_.applied >= snapshot->index) return;
  state_.applied = snapshot->index;
  state_.outbox.Emit(ApplySnapshot{snapshot->index, snapshot->bytes});
}

void StateMachineApplier::MaybeRequestSnapshot() {
  if (snapshot_requested_) return;
  const LogIndex since = state_.applied - state_.log.snapshot_index();
  const bool due = since >= state_.options.snapshot_entries ||
                   applied_bytes_ >= state_.options.snapshot_bytes;
  if (!due || since == 0) return;
  snapshot_requested_ = true;
  state_.outbox.Emit(TakeSnapshot{state_.applied});
}

void StateMachineApplier::OnSnapshotTaken(const SnapshotTaken& taken) {
  snapshot_requested_ = false;
  const std::optional<Term> term = state_.log.TermAt(taken.index);
  const bool useful = taken.index > state_.log.snapshot_index() &&
                      taken.index <= state_.applied && term;
  if (!useful) return;
  applied_bytes_ = 0;
  Snapshot snapshot{taken.index, *term, state_.log.MembershipAt(taken.index),
                    taken.bytes};
  state_.outbox.staged().snapshot = snapshot;
  state_.log.Compact(std::move(snapshot), state_.options.trailing_entries);
  state_.Emit(ReplicaEventKind::kSnapshotStored, taken.index, {});
}

}  // namespace coltsfootfork
