#include "bench/routing/queue_model.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace coltsfootfork::bench {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kServers = 24;
constexpr std::uint32_t kEntries = 3;
constexpr std::uint32_t kBatch = 16;
constexpr double kSlowest = 0.75;
constexpr double kFastest = 1.25;
constexpr double kPromptTokens = 2000;
constexpr double kSharedPart = 0.75;
constexpr std::uint64_t kBlocks = 16;
constexpr double kPrefillSeconds = 0.0001;
constexpr double kTokenSeconds = 0.02;
constexpr double kMeanOutput = 150;
constexpr std::uint64_t kGroups = 240;
constexpr std::size_t kCachedGroups = 20;
constexpr milliseconds kHintLag{500};
constexpr double kHintLoss = 0.02;
constexpr seconds kWarmUp{30};
constexpr seconds kRunTime{180};
const Time kStart{seconds(1000)};
const ServiceId kService("model");

Duration Seconds(double count) {
  return duration_cast<Duration>(std::chrono::duration<double>(count));
}

// The blocks that all prompts of a group share, and some of one prompt alone.
std::vector<std::uint64_t> BlocksOf(std::uint64_t group, std::uint64_t own) {
  std::vector<std::uint64_t> blocks;
  const auto shared = static_cast<std::uint64_t>(kBlocks * kSharedPart);
  for (std::uint64_t i = 0; i < kBlocks; ++i) {
    const std::uint64_t base = i < shared ? group : own;
    blocks.push_back(base * kBlocks + i);
  }
  return blocks;
}

std::vector<std::uint64_t> SharedBlocks(std::uint64_t group) {
  std::vector<std::uint64_t> blocks = BlocksOf(group, 0);
  blocks.resize(static_cast<std::size_t>(kBlocks * kSharedPart));
  return blocks;
}

double MeanServiceSeconds() {
  return kPromptTokens * kPrefillSeconds + kMeanOutput * kTokenSeconds;
}

}  // namespace

QueueModel::QueueModel(const ModelOptions& options)
    : options_(options), random_(options.seed), servers_(kServers) {
  options_.choice.policy = options_.policy;
  double speed_sum = 0;
  for (std::uint32_t i = 0; i < kServers; ++i) {
    const double part = static_cast<double>(i) / (kServers - 1);
    servers_[i].speed = kSlowest + (kFastest - kSlowest) * part;
    speed_sum += servers_[i].speed;
  }
  arrivals_per_second_ =
      options_.load * speed_sum * kBatch / MeanServiceSeconds();
  for (std::uint32_t i = 0; i < kEntries; ++i) {
    entries_.emplace_back(options_, options.seed * kEntries + i);
    for (std::uint32_t k = 0; k < kServers; ++k) {
      ServerTable& table = entries_.back().servers;
      const ServerIndex index =
          table.FindOrAdd(ProcessId("agent" + std::to_string(k)));
      table.SetLink(index, true);
      table.ApplyReport(index, MakeReport(k), now_);
      table.row(index).serving_since = now_ - options_.choice.ramp;
    }
    Push(Seconds(0), {{}, 0, EventKind::kArrival, i, 0, 0});
  }
  for (std::uint32_t k = 0; k < kServers; ++k) {
    Push(Seconds(0), {{}, 0, EventKind::kMakeReport, 0, k, 0});
  }
}

ModelResult QueueModel::Run() {
  while (now_ < kStart + kRunTime) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    switch (event.kind) {
      case EventKind::kArrival:
        OnArrival(event);
        break;
      case EventKind::kEnd:
        OnEnd(event);
        break;
      case EventKind::kMakeReport:
        OnMakeReport(event);
        break;
      case EventKind::kTakeReport:
        for (Entry& entry : entries_) {
          entry.servers.ApplyReport(event.server, reports_[event.payload],
                                    now_);
        }
        break;
      case EventKind::kTakeHint:
        for (Entry& entry : entries_) {
          entry.hints.Apply(event.server, hints_[event.payload]);
        }
        break;
    }
  }
  return std::move(result_);
}

void QueueModel::Push(Duration in, Event event) {
  event.at = now_ + in;
  event.order = ++order_;
  events_.push(event);
}

double QueueModel::Uniform() {
  return (static_cast<double>(random_() >> 11U) + 0.5) / 9007199254740992.0;
}

QueueModel::Job QueueModel::MakeJob(std::uint32_t entry) {
  Job job;
  job.arrived = now_;
  job.entry = entry;
  // A few groups are asked for far more often than the rest.
  job.group = static_cast<std::uint64_t>(std::pow(Uniform(), 2.0) * kGroups);
  // Lengths spread widely around their mean.
  job.output_tokens = -kMeanOutput * std::log(Uniform());
  return job;
}

void QueueModel::OnArrival(const Event& event) {
  const double rate = arrivals_per_second_ / kEntries;
  Push(Seconds(-std::log(Uniform()) / rate), event);
  Entry& entry = entries_[event.entry];
  const Job job = MakeJob(event.entry);
  const auto blocks = BlocksOf(job.group, kGroups + order_);
  ChoiceQuery query;
  query.service = kService;
  query.rank = Rank::kUrgent;
  query.prompt_tokens = static_cast<std::uint32_t>(kPromptTokens);
  query.prefix_blocks = &blocks;
  query.start_within = seconds(3600);
  const Choice choice =
      entry.chooser.Choose(query, entry.servers, entry.hints, now_);
  const ServerIndex server = *choice.server;
  entry.servers.RecordDispatch(server, query.rank, choice.work, now_);
  entry.hints.AddExpected(server, blocks);
  entry.servers.OnDispatched(server, query.rank);
  if (servers_[server].running < kBatch) {
    Start(server, job);
  } else {
    servers_[server].waiting.push_back(job);
  }
}

void QueueModel::Start(std::uint32_t server, const Job& job) {
  Server& row = servers_[server];
  ++row.running;
  const bool cached = TouchCache(server, job.group);
  const double reused = cached ? kPromptTokens * kSharedPart : 0.0;
  const double prefill = (kPromptTokens - reused) * kPrefillSeconds / row.speed;
  const double decode = job.output_tokens * kTokenSeconds / row.speed;
  Push(Seconds(prefill + decode),
       {{}, 0, EventKind::kEnd, job.entry, server, 0});
  if (now_ < kStart + kWarmUp) return;
  const std::chrono::duration<double, std::milli> delay = now_ - job.arrived;
  result_.queue_delays.push_back(delay.count());
  result_.first_token_times.push_back(delay.count() + prefill * 1000);
  result_.prompt_tokens += kPromptTokens;
  result_.reused_tokens += reused;
}

void QueueModel::OnEnd(const Event& event) {
  entries_[event.entry].servers.OnReleased(event.server, Rank::kUrgent);
  Server& server = servers_[event.server];
  --server.running;
  if (server.waiting.empty()) return;
  const Job next = server.waiting.front();
  server.waiting.pop_front();
  Start(event.server, next);
}

bool QueueModel::TouchCache(std::uint32_t server, std::uint64_t group) {
  Server& row = servers_[server];
  const auto found = std::find(row.cached.begin(), row.cached.end(), group);
  const bool cached = found != row.cached.end();
  if (cached) row.cached.erase(found);
  row.cached.push_back(group);
  if (cached) return true;
  CacheHint hint;
  hint.added_blocks = SharedBlocks(group);
  if (row.cached.size() > kCachedGroups) {
    hint.removed_blocks = SharedBlocks(row.cached.front());
    row.cached.pop_front();
  }
  SendHint(server, hint);
  return false;
}

void QueueModel::SendHint(std::uint32_t server, const CacheHint& hint) {
  hints_.push_back(hint);
  hints_.back().sequence = ++servers_[server].hint_sequence;
  if (Uniform() < kHintLoss) return;
  Push(kHintLag, {{}, 0, EventKind::kTakeHint, 0, server, hints_.size() - 1});
}

void QueueModel::OnMakeReport(const Event& event) {
  reports_.push_back(MakeReport(event.server));
  Push(options_.report_lag,
       {{}, 0, EventKind::kTakeReport, 0, event.server, reports_.size() - 1});
  Push(options_.report_every, event);
}

ServerReport QueueModel::MakeReport(std::uint32_t server) const {
  const Server& row = servers_[server];
  ServerReport report;
  report.server = ServerId("server" + std::to_string(server));
  report.services = {kService};
  report.serving = true;
  report.running_requests = row.running;
  report.queued_requests = static_cast<std::uint32_t>(row.waiting.size());
  if (row.running >= kBatch) {
    // The server knows what a request takes it on average, not which ends.
    const double waits = static_cast<double>(row.waiting.size()) + 1;
    const double delay = waits * MeanServiceSeconds() / row.speed / kBatch;
    report.urgent_delay =
        duration_cast<std::chrono::microseconds>(Seconds(delay));
    report.deferrable_delay = report.urgent_delay;
  }
  report.prefill_per_token = duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(kPrefillSeconds / row.speed));
  return report;
}

}  // namespace coltsfootfork::bench
