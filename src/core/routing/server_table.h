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

// A dispatch that the server's reports do not include yet.
struct RecentDispatch {
  Time at;
  Rank rank = Rank::kDeferrable;
  std::chrono::microseconds work{0};
};

// A count for each rank.
using RankCounts = std::array<std::int32_t, kRankCount>;

// Estimate of a saturated server's concurrency, from reports with queued
// requests. Zero until the first such report.
struct SaturationEstimate {
  // Requests that run concurrently while others are queued.
  double max_running = 0;
  // Mean time between two ends of requests, each of which lets a queued one
  // start.
  std::chrono::duration<double, std::micro> start_interval{0};
};

// One agent and the last report of its backend server.
struct ServerRow {
  ProcessId agent;
  bool link_up = false;
  // The directory lists the agent, and lists it as draining.
  bool listed = false;
  bool listed_draining = false;
  std::optional<ServerReport> report;
  Time reported_at;
  // The report was received over the current link.
  bool reported_on_link = false;
  // When the server was first reported as serving after it was not.
  Time serving_since;
  std::deque<RecentDispatch> recent_dispatches;
  // Requests of each rank that this entry has dispatched and that have not
  // ended: now, and as far as the last report can include them.
  RankCounts outstanding{};
  RankCounts outstanding_at_report{};
  SaturationEstimate saturation;
};

// The backend servers known to this entry, one row per agent.
class ServerTable {
 public:
  explicit ServerTable(const ChoiceOptions& options) : options_(options) {}

  // Returns the row of an agent, adding it if necessary.
  ServerIndex FindOrAdd(const ProcessId& agent);
  std::optional<ServerIndex> Find(const ProcessId& agent) const;
  ServerRow& row(ServerIndex index) { return rows_[index]; }
  const ServerRow& row(ServerIndex index) const { return rows_[index]; }
  std::size_t size() const { return rows_.size(); }

  // Applies a report. Returns true if it is from another server or from a new
  // incarnation, which makes earlier cache hints of the row invalid.
  bool ApplyReport(ServerIndex index, const ServerReport& report, Time now);
  void SetLink(ServerIndex index, bool up);
  // Applies the directory. Returns the indices of rows removed because their
  // agents are no longer listed or connected and have no outstanding requests;
  // removed indices are reused.
  std::vector<ServerIndex> ApplyDirectory(
      const std::vector<DirectoryAgent>& agents);
  void RecordDispatch(ServerIndex index, Rank rank,
                      std::chrono::microseconds work, Time now);

  // Returns true if the server may get new requests.
  bool Eligible(ServerIndex index, Time now) const;

  // The rows whose servers offer the service, eligible or not, in order.
  const std::vector<ServerIndex>& ServersOffering(
      const ServiceId& service) const;

  // The queueing delay of a request of the rank, as last reported.
  std::chrono::microseconds ReportedDelay(ServerIndex index, Rank rank) const;

  // The queueing delay of a request of the rank, estimated from the last report
  // and this entry's dispatches and ended requests since.
  std::chrono::microseconds ExpectedDelay(ServerIndex index, Rank rank) const;

  // Count a request as outstanding from its dispatch until its end.
  void OnDispatched(ServerIndex index, Rank rank);
  void OnReleased(ServerIndex index, Rank rank);
  std::int32_t Outstanding(ServerIndex index) const;

  // The share of its full load, from 0 to 1, that a server may get in slow
  // start.
  double RampShare(ServerIndex index, Time now) const;

  // Work dispatched to the server that its reports do not include yet and that
  // runs before a request of the rank.
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
