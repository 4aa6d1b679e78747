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
#include "coltsfootfork/core/fleet/plan_state_machine.h"
#include "coltsfootfork/core/replication/log_entry.h"
#include "coltsfootfork/shell/storage/disk_log.h"
#include "shell/replica/input_queue.h"

namespace coltsfootfork {

struct ReplicaHostOptions {
  // The process's address among its peers.
  std::string self;
  ZoneId zone;
  std::string data_folder;
  // See DiskLogOptions.
  bool refuse_copies = true;
  std::uint64_t seed = 0;
  // For tests: the share of steps on the disk that fail.
  double disk_fault_share = 0;
};

// A replica of the plan with its data folder. A folder that cannot be opened or
// written is tried again after a pause, from what it holds then: a full or
// failing disk costs the group this voter only for as long as it lasts.
class ReplicaHost {
 public:
  using Transmit =
      std::function<void(const std::string& to, std::string bytes)>;
  // Called once: the command is committed, or may not be.
  using ProposeCallback = std::function<void(bool committed)>;

  ReplicaHost(ReplicaHostOptions options, PlanStateMachine& state_machine,
              Transmit transmit, Time now);

  // The folder is open and belongs to no group yet.
  bool is_uninitialized() const;
  bool is_running() const { return replica_ != nullptr; }
  // Lets the replica take part. A blank one founds a group with the seeds, or
  // joins theirs where it is not among them; `founders` is how many voters the
  // group should have.
  void Start(const std::vector<std::string>& seeds, std::size_t target_voters,
             Time now);

  void OnMessage(const std::string& from, const std::string& bytes);
  void Tick(Time now);
  void Propose(std::string command, ProposeCallback done);

  bool HoldsLease(Time now) const;
  // Empty while none is known.
  std::string leader() const;
  std::vector<std::string> voters() const;

 private:
  void Open(Time now);
  // How many voters the group in the folder has, at least one.
  std::size_t RecoveredVoters() const;
  void CloseAndScheduleReopen(Time now);
  void Execute(const std::vector<ControlReplicaEffect>& effects);
  void Execute(const SendReplicaMessage& effect);
  void Execute(const Persist& effect);
  void Execute(const CommandAnswered& effect);
  void Execute(const LogEvent& effect);

  // What decides which steps on the disk fail; nothing where none should.
  std::function<int(StorageStep)> MakeDiskFaultInjector();

  ReplicaHostOptions options_;
  std::mt19937_64 random_;
  PlanStateMachine& state_machine_;
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
