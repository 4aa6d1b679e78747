#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "coltsfootfork/core/configuration/configuration_synchronizer.h"
#include "coltsfootfork/core/metrics/metrics_registry.h"
#include "shell/process/admin_api.h"
#include "shell/process/agent_role.h"
#include "shell/process/control_client.h"
#include "shell/process/control_role.h"
#include "shell/process/entry_role.h"
#include "shell/process/peer_link_manager.h"
#include "shell/process/process_context.h"
#include "shell/process/settings.h"
#include "shell/storage/revision_file.h"

namespace coltsfootfork {

// One process of the system: its links to peers, its synchronized
// configuration, and the roles enabled in its settings, all in one thread.
class Process {
 public:
  // Opens every listening address and the data folder; throws std::exception on
  // failure.
  Process(boost::asio::io_context& io, Settings settings);
  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Returns one line of JSON with every listening address.
  std::string AddressLine() const;

  // Starts a graceful shutdown: refuses new work, finishes running work, then
  // stops the event loop. A second call stops the event loop immediately.
  void Stop();

 private:
  PeerLinkCallbacks MakeLinkCallbacks();
  void HandleSignals();
  void ScheduleTick();
  void Tick();
  // Logs when the process starts to refuse new requests because its
  // configuration is outdated or not confirmed.
  void CheckConfirmation(Time now);
  // Stores the highest revision seen before the process acts on it, so that a
  // restart does not go back to an older one.
  void StoreHighestRevision();
  void RenewLeaseWhenDue(Time now);
  void OnLeaseReply(const std::optional<ControlReply>& reply);
  void FetchStateWhenDue(Time now);
  // Used while no control replica replies: fetches the state from a peer that
  // has announced a newer revision.
  void FetchStateFromPeer(const FetchState& fetch);
  void OnState(const FetchStateReply& state);
  void ApplyConfiguration();
  void OnPeerUp(const ProcessId& peer, LinkDirection direction);
  void OnPeerDown(const ProcessId& peer, LinkDirection direction);
  void OnPayload(const ProcessId& peer, LinkDirection direction,
                 Payload payload);
  void OnControlCall(const ProcessId& peer, LinkDirection direction,
                     const ControlRequestFrame& call);
  void OnControlReply(const ControlReplyFrame& frame);
  bool Ready() const;
  bool Drained() const;
  // Waits until the last frames are sent, then stops the event loop.
  void Finish();
  RenewLease MakeLeaseRenewal() const;

  boost::asio::io_context& io_;
  Settings settings_;
  std::uint64_t incarnation_;
  MetricsRegistry metrics_;
  std::optional<RevisionFile> revision_file_;
  Revision last_attempted_revision_ = 0;
  ConfigurationSynchronizer synchronizer_;
  PeerLinkManager peer_links_;
  // The address at which peers reach this process.
  std::string address_;
  ControlClient control_client_;
  ProcessContext context_;
  std::unique_ptr<ControlRole> control_;
  std::unique_ptr<AgentRole> agent_;
  std::unique_ptr<EntryRole> entry_;
  std::unique_ptr<AdminApi> admin_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer tick_;
  bool stopping_ = false;
  bool renewal_in_flight_ = false;
  // The shutdown was reported to the leader, or the leader was unreachable.
  bool stop_reported_ = false;
  bool fetch_in_flight_ = false;
  bool was_unconfirmed_ = false;
  std::optional<Time> last_renewal_at_;
  // The last renewal sent; a change of its content triggers a renewal
  // immediately.
  RenewLease last_renewal_;
  // The peer that last sent a frame while a newer revision than the one in
  // force was known.
  ProcessId newer_revision_peer_;
  LinkDirection newer_revision_direction_ = LinkDirection::kOutgoing;
  std::optional<Time> flush_deadline_;
};

}  // namespace coltsfootfork
