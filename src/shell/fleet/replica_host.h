#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "coltsfootfork/core/control/control_replica.h"
#include "coltsfootfork/core/replication/log_entry.h"
#include "coltsfootfork/shell/storage/disk_log.h"
#include "shell/replica/input_queue.h"

namespace coltsfootfork {

struct ReplicaHostOptions {
  // IP:PORT at which peers reach the process.
  std::string self;
  ZoneId zone;
  std::string data_folder;
  // See DiskLogOptions.
  bool refuse_copies = true;
  std::uint64_t seed = 0;
  // For tests: the probability that a step on the disk fails.
  double disk_fault_share = 0;
};

// A replica of the fleet's state with its data folder. If the folder cannot be
// opened or written, it is reopened after a delay and the replica recovers from
// it, so that a full or failing disk costs the group this voter only while the
// fault lasts.
class ReplicaHost {
 public:
  using Transmit =
      std::function<void(const std::string& to, std::string bytes)>;
  // Called once. If `committed` is false, the command may still be committed;
  // otherwise `reply` is that of the state machine.
  using ProposeCallback =
      std::function<void(bool committed, const std::string& reply)>;

  ReplicaHost(ReplicaHostOptions options, StateMachine& state_machine,
              Transmit transmit, Time now);

  // Returns true if the folder is open and holds no replica group's state.
  bool is_uninitialized() const;
  bool is_running() const { return replica_ != nullptr; }
  // Starts the replica. If the folder is uninitialized, the replica bootstraps
  // a group with the seeds if it is one of them, and else joins the seeds'
  // group. `target_voters` is how many voters the group should have.
  void Start(const std::vector<std::string>& seeds, std::size_t target_voters,
             Time now);

  void OnMessage(const std::string& from, const std::string& bytes);
  void Tick(Time now);
  void Propose(std::string command, ProposeCallback done);

  bool HoldsLease(Time now) const;
  // Empty while no leader is known.
  std::string leader() const;
  std::vector<std::string> voters() const;
  // Returns a function that decides which steps on the disk fail, or nullptr if
  // none should. Valid while this object exists.
  std::function<int(StorageStep)> MakeDiskFaultInjector();

 private:
  void Open(Time now);
  // Returns the number of voters of the group in the folder, at least one.
  std::size_t RecoveredVoters() const;
  void CloseAndScheduleReopen(Time now);
  void Execute(const std::vector<ControlReplicaEffect>& effects);
  void Execute(const SendReplicaMessage& effect);
  void Execute(const Persist& effect);
  void Execute(const CommandCompleted& effect);
  void Execute(const LogEvent& effect);

  ReplicaHostOptions options_;
  std::mt19937_64 random_;
  StateMachine& state_machine_;
  Transmit transmit_;
  std::unique_ptr<DiskLog> disk_;
  std::optional<RecoveredState> recovered_;
  std::unique_ptr<ControlReplica> replica_;
  std::vector<std::string> seeds_;
  std::size_t target_voters_ = 1;
  InputQueue inputs_;
  bool halted_ = false;
  Time reopen_at_;
  ProposalId next_proposal_ = 1;
  std::map<ProposalId, ProposeCallback> pending_proposals_;
};

}  // namespace coltsfootfork
