#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "coltsfootfork/core/messages/control_messages.h"
#include "coltsfootfork/core/messages/request_messages.h"
#include "coltsfootfork/core/routing/entry_options.h"
#include "coltsfootfork/core/types/time.h"
#include "core/routing/prefix_hints.h"

namespace coltsfootfork {

// A hand-over that the server's reports do not cover yet.
struct RecentDispatch {
  Time at;
  Rank rank = Rank::kDeferrable;
  std::chrono::microseconds work{0};
};

// A number for each rank.
using RankCounts = std::array<std::int32_t, kRankCount>;

// What reports of a server with a queue have shown of it. Zero until then.
struct SaturationEstimate {
  // Requests that run at once when others have to wait.
  double max_running = 0;
  // How often one of them ends and lets the next one start.
  std::chrono::duration<double, std::micro> start_interval{0};
};

// One agent and what it last told of its backend server.
struct ServerRow {
  ProcessId agent;
  bool link_up = false;
  // Whether the directory names the agent, and whether as draining.
  bool listed = false;
  bool listed_draining = false;
  std::optional<ServerReport> report;
  Time reported_at;
  // Whether the report came over the present link.
  bool reported_on_link = false;
  // When the server was first heard to serve after it had not.
  Time serving_since;
  std::deque<RecentDispatch> recent_dispatches;
  // Requests of each rank that this entry has handed over and that have not
  // ended, now and as far as the last report can cover them.
  RankCounts outstanding{};
  RankCounts outstanding_at_report{};
  SaturationEstimate saturation;
};

// The backend servers that this entry knows, one row an agent.
class ServerTable {
 public:
  explicit ServerTable(const ChoiceOptions& options) : options_(options) {}

  // The row of an agent; made where there is none.
  ServerIndex FindOrAdd(const ProcessId& agent);
  std::optional<ServerIndex> Find(const ProcessId& agent) const;
  ServerRow& row(ServerIndex index) { return rows_[index]; }
  const ServerRow& row(ServerIndex index) const { return rows_[index]; }
  std::size_t size() const { return rows_.size(); }

  // Takes a report. Returns true where what was known of the server's memory
  // is void, because it is another server or has started anew.
  bool ApplyReport(ServerIndex index, const ServerReport& report, Time now);
  void SetLink(ServerIndex index, bool up);
  // Takes the directory. Returns the rows that were dropped because their
  // agents are gone; their places are used again.
  std::vector<ServerIndex> ApplyDirectory(
      const std::vector<DirectoryAgent>& agents);
  void RecordDispatch(ServerIndex index, Rank rank,
                      std::chrono::microseconds work, Time now);

  // Whether the server may get new work of a service it offers.
  bool Eligible(ServerIndex index, Time now) const;

  // The rows whose servers offer the service, eligible or not, in order.
  const std::vector<ServerIndex>& ServersOffering(
      const ServiceId& service) const;

  // How long a request of the rank waits for its start, as last reported.
  std::chrono::microseconds ReportedDelay(ServerIndex index, Rank rank) const;

  // How long a request of the rank waits for its start, by the last report
  // and by what this entry has sent and seen end since.
  std::chrono::microseconds ExpectedDelay(ServerIndex index, Rank rank) const;

  // Books the hand-over of a request and its end.
  void OnDispatched(ServerIndex index, Rank rank);
  void OnReleased(ServerIndex index, Rank rank);
  std::int32_t Outstanding(ServerIndex index) const;

  // From 0 to 1: how much of its full share a server may get.
  double RampShare(ServerIndex index, Time now) const;

  // Work sent to the server that its reports do not cover, as far as it goes
  // ahead of a request of the rank.
  std::chrono::microseconds UnreportedWork(ServerIndex index, Rank rank) const;

 private:
  static double ChangeSinceReport(const ServerRow& row, Rank rank);
  static void UpdateSaturation(ServerRow* row);
  static void UpdateOutstandingAtReport(ServerRow* row);
  void Reindex(ServerIndex index, const std::vector<ServiceId>& before,
               const std::vector<ServiceId>& after);

  std::vector<ServerIndex> RemoveUnlisted();

  ChoiceOptions options_;
  bool has_directory_ = false;
  std::vector<ServerRow> rows_;
  std::vector<ServerIndex> free_rows_;
  std::map<ProcessId, ServerIndex> by_agent_;
  std::map<ServiceId, std::vector<ServerIndex>> by_service_;
};

}  // namespace coltsfootfork
