#include "core/routing/server_table.h"

#include <algorithm>
#include <numeric>

namespace coltsfootfork {
namespace {

// Dispatches recorded per server; older ones are dropped.
constexpr std::size_t kMaxRecentDispatches = 256;
// Weight of the newest report in the moving average of SaturationEstimate.
constexpr double kNewestReportWeight = 0.3;
// Maximum factor by which this entry's dispatches are extrapolated to all
// entries.
constexpr double kMaxExtrapolationFactor = 8.0;
// Slots of a nearly saturated server that other entries may have used since the
// last report.
constexpr double kUnreportedStarts = 1.5;

bool IsServing(const ServerRow& row) {
  return row.report.has_value() && row.report->serving && !row.report->draining;
}

}  // namespace

ServerIndex ServerTable::FindOrAdd(const ProcessId& agent) {
  const auto found = by_agent_.find(agent);
  if (found != by_agent_.end()) return found->second;
  auto index = static_cast<ServerIndex>(rows_.size());
  if (free_rows_.empty()) {
    rows_.emplace_back();
  } else {
    index = free_rows_.back();
    free_rows_.pop_back();
  }
  rows_[index].agent = agent;
  by_agent_.emplace(agent, index);
  return index;
}

std::optional<ServerIndex> ServerTable::Find(const ProcessId& agent) const {
  const auto found = by_agent_.find(agent);
  if (found == by_agent_.end()) return std::nullopt;
  return found->second;
}

bool ServerTable::ApplyReport(ServerIndex index, const ServerReport& report,
                              Time now) {
  ServerRow& row = rows_[index];
  const bool is_new_incarnation = !row.report.has_value() ||
                                  row.report->server != report.server ||
                                  row.report->incarnation != report.incarnation;
  const bool was_serving = IsServing(row) && row.reported_on_link &&
                           !is_new_incarnation &&
                           now - row.reported_at <= options_.report_fresh_for;
  Reindex(index, row.report ? row.report->services : std::vector<ServiceId>(),
          report.services);
  row.report = report;
  row.reported_at = now;
  row.reported_on_link = true;
  if (IsServing(row) && !was_serving) row.serving_since = now;
  while (!row.recent_dispatches.empty() &&
         row.recent_dispatches.front().at + options_.report_lag <= now) {
    row.recent_dispatches.pop_front();
  }
  if (is_new_incarnation) row.saturation = SaturationEstimate();
  UpdateOutstandingAtReport(&row);
  UpdateSaturation(&row);
  return is_new_incarnation;
}

void ServerTable::UpdateOutstandingAtReport(ServerRow* row) {
  row->outstanding_at_report = row->outstanding;
  for (const RecentDispatch& dispatch : row->recent_dispatches) {
    row->outstanding_at_report.at(RankIndex(dispatch.rank)) -= 1;
  }
}

void ServerTable::UpdateSaturation(ServerRow* row) {
  const ServerReport& report = *row->report;
  if (report.queued_requests == 0 || report.deferrable_delay.count() <= 0) {
    return;
  }
  const double queued = report.queued_requests;
  const std::chrono::duration<double, std::micro> interval =
      std::chrono::duration<double, std::micro>(report.deferrable_delay) /
      (queued + 1.0);
  SaturationEstimate& estimate = row->saturation;
  const double weight = estimate.max_running > 0 ? kNewestReportWeight : 1.0;
  estimate.max_running +=
      weight * (report.running_requests - estimate.max_running);
  estimate.start_interval += weight * (interval - estimate.start_interval);
}

std::chrono::microseconds ServerTable::ReportedDelay(ServerIndex index,
                                                     Rank rank) const {
  const ServerReport& report = *rows_[index].report;
  return rank == Rank::kUrgent ? report.urgent_delay : report.deferrable_delay;
}

std::chrono::microseconds ServerTable::ExpectedDelay(ServerIndex index,
                                                     Rank rank) const {
  const ServerRow& row = rows_[index];
  const ServerReport& report = *row.report;
  const std::chrono::microseconds reported = ReportedDelay(index, rank);
  if (row.saturation.max_running <= 0) return reported;
  double starts_ahead = ChangeSinceReport(row, rank);
  if (reported.count() <= 0) {
    const double free_slots =
        row.saturation.max_running - report.running_requests;
    starts_ahead += 1.0 + kUnreportedStarts - free_slots;
  }
  const auto added_delay =
      std::chrono::duration_cast<std::chrono::microseconds>(
          starts_ahead * row.saturation.start_interval);
  return std::max(std::chrono::microseconds(0), reported + added_delay);
}

double ServerTable::ChangeSinceReport(const ServerRow& row, Rank rank) {
  double change = 0;
  double outstanding_at_report = 0;
  for (std::size_t i = 0; i <= RankIndex(rank); ++i) {
    change += row.outstanding.at(i) - row.outstanding_at_report.at(i);
    outstanding_at_report += row.outstanding_at_report.at(i);
  }
  if (change <= 0) return change;
  // Assumes that other entries dispatched in proportion to their share.
  const double total_requests =
      row.report->running_requests + row.report->queued_requests;
  return change *
         std::clamp(total_requests / std::max(1.0, outstanding_at_report), 1.0,
                    kMaxExtrapolationFactor);
}

void ServerTable::OnDispatched(ServerIndex index, Rank rank) {
  rows_[index].outstanding.at(RankIndex(rank)) += 1;
}

void ServerTable::OnReleased(ServerIndex index, Rank rank) {
  rows_[index].outstanding.at(RankIndex(rank)) -= 1;
}

std::int32_t ServerTable::Outstanding(ServerIndex index) const {
  const RankCounts& counts = rows_[index].outstanding;
  return std::accumulate(counts.begin(), counts.end(), std::int32_t{0});
}

void ServerTable::SetLink(ServerIndex index, bool up) {
  ServerRow& row = rows_[index];
  row.link_up = up;
  // Reports received over the old link do not apply to a new one.
  row.reported_on_link = false;
  row.recent_dispatches.clear();
}

std::vector<ServerIndex> ServerTable::ApplyDirectory(
    const std::vector<DirectoryAgent>& agents) {
  has_directory_ = true;
  for (ServerRow& row : rows_) row.listed = false;
  for (const DirectoryAgent& agent : agents) {
    ServerRow& row = rows_[FindOrAdd(agent.process)];
    row.listed = true;
    row.listed_draining = agent.draining;
  }
  return RemoveUnlisted();
}

std::vector<ServerIndex> ServerTable::RemoveUnlisted() {
  std::vector<ServerIndex> removed;
  for (auto it = by_agent_.begin(); it != by_agent_.end();) {
    const ServerIndex index = it->second;
    const ServerRow& row = rows_[index];
    if (row.listed || row.link_up || Outstanding(index) > 0) {
      ++it;
      continue;
    }
    if (row.report.has_value()) Reindex(index, row.report->services, {});
    rows_[index] = ServerRow();
    free_rows_.push_back(index);
    removed.push_back(index);
    it = by_agent_.erase(it);
  }
  return removed;
}

void ServerTable::RecordDispatch(ServerIndex index, Rank rank,
                                 std::chrono::microseconds work, Time now) {
  std::deque<RecentDispatch>& recent_dispatches =
      rows_[index].recent_dispatches;
  if (recent_dispatches.size() >= kMaxRecentDispatches) {
    recent_dispatches.pop_front();
  }
  recent_dispatches.push_back({now, rank, work});
}

bool ServerTable::Eligible(ServerIndex index, Time now) const {
  const ServerRow& row = rows_[index];
  if (!row.link_up || !row.reported_on_link || !IsServing(row)) return false;
  if (has_directory_ && (!row.listed || row.listed_draining)) return false;
  return now - row.reported_at <= options_.report_fresh_for;
}

const std::vector<ServerIndex>& ServerTable::ServersOffering(
    const ServiceId& service) const {
  static const std::vector<ServerIndex> no_servers;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? no_servers : found->second;
}

double ServerTable::RampShare(ServerIndex index, Time now) const {
  const std::chrono::duration<double> age = now - rows_[index].serving_since;
  const std::chrono::duration<double> ramp = options_.ramp;
  return ramp.count() <= 0.0 ? 1.0 : std::min(1.0, age / ramp);
}

std::chrono::microseconds ServerTable::UnreportedWork(ServerIndex index,
                                                      Rank rank) const {
  std::chrono::microseconds work{0};
  for (const RecentDispatch& dispatch : rows_[index].recent_dispatches) {
    if (dispatch.rank <= rank) work += dispatch.work;
  }
  return work;
}

void ServerTable::Reindex(ServerIndex index,
                          const std::vector<ServiceId>& before,
                          const std::vector<ServiceId>& after) {
  if (before == after) return;
  for (const ServiceId& service : before) {
    std::vector<ServerIndex>& offering = by_service_[service];
    offering.erase(std::remove(offering.begin(), offering.end(), index),
                   offering.end());
  }
  for (const ServiceId& service : after) {
    std::vector<ServerIndex>& offering = by_service_[service];
    const auto it = std::lower_bound(offering.begin(), offering.end(), index);
    if (it == offering.end() || *it != index) {
      offering.insert(it, index);
    }
  }
}

}  // namespace coltsfootfork
