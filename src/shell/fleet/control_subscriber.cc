#include "shell/fleet/control_subscriber.h"

#include <utility>

#include "shell/clock/monotonic_now.h"
#include "shell/log/event.h"
#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

using boost::system::error_code;
using std::chrono::milliseconds;

constexpr milliseconds kReportInterval{200};
// A control process sends several messages within this time.
constexpr milliseconds kLinkTimeout{800};
// A control process that is not current for this long is replaced.
constexpr milliseconds kNotCurrentTimeout{500};
// A control process that has been connected for this long is reported as
// healthy, which resets its backoff.
constexpr milliseconds kHealthyAfter{5000};
// Minimum time between two switches to a better control process, so that not
// all entries switch at once to a process that has recovered.
constexpr milliseconds kSwitchInterval{2000};
// The servers' performance is reported this often: all control traffic of a
// host may take 4 KB a second.
constexpr milliseconds kPerformanceInterval{1000};
// Reports kept until the control process publishes a usage that includes them.
constexpr std::size_t kMaxUnackedReports = 32;
// Server ids are trimmed when they outnumber the servers in the directory by
// this factor.
constexpr std::size_t kMaxIdsPerServer = 4;

ControlSelector::Role RoleOf(std::size_t index) {
  return index == 0 ? ControlSelector::Role::kSameZone
                    : ControlSelector::Role::kOtherZone;
}

}  // namespace

ControlSubscriber::ControlSubscriber(boost::asio::io_context& io,
                                     ControlSubscriberOptions options,
                                     ControlSubscriberEvents events)
    : io_(io),
      options_(std::move(options)),
      events_(std::move(events)),
      timer_(io),
      usage_timer_(io),
      selector_(options_.zone, options_.seed),
      knows_evacuations_(!options_.awaits_evacuations) {
  AddSeeds(options_.seeds);
  Tick();
  TickUsage();
}

ControlSubscriber::~ControlSubscriber() {
  for (Subscription& subscription : subscriptions_) {
    if (subscription.link) subscription.link->Close();
  }
}

void ControlSubscriber::AddSeeds(const std::vector<std::string>& seeds) {
  for (const std::string& seed : seeds) selector_.AddCandidate(seed);
}

void ControlSubscriber::Tick() {
  const Time now = MonotonicNow();
  for (std::size_t i = 0; i < subscriptions_.size(); ++i) {
    Subscription& subscription = subscriptions_[i];
    if (subscription.link && subscription.link->is_connected()) {
      const bool timed_out =
          now >= subscription.link->last_received() + kLinkTimeout;
      const bool not_current =
          !subscription.current &&
          now >= subscription.stale_since + kNotCurrentTimeout;
      if (timed_out) {
        DropUnhealthy(i, "timeout", now);
      } else if (not_current) {
        DropUnhealthy(i, "not_current", now);
      }
    }
    if (!subscription.link) Connect(i, now);
    Report(i);
  }
  SwitchToBetter(now);
  directory_.Expire(now);
  timer_.expires_after(kReportInterval);
  timer_.async_wait(lifetime_.Guard([this](error_code error) {
    if (!error) Tick();
  }));
}

void ControlSubscriber::TickUsage() {
  const auto interval = UsageInterval(options_.usage, entries_);
  if (interval) ReportChangedLoad();
  usage_timer_.expires_after(interval.value_or(kReportInterval));
  usage_timer_.async_wait(lifetime_.Guard([this](error_code error) {
    if (!error) TickUsage();
  }));
}

void ControlSubscriber::ReportChangedLoad() {
  const std::size_t primary = PrimaryIndex();
  const Subscription& subscription = subscriptions_[primary];
  if (subscription.sent_reports.empty()) return;
  const KeyedLoad& reported = subscription.sent_reports.back().usage.load;
  if (ChangesOf(reported, ToKeyed(events_.own_load())).empty()) return;
  Report(primary);
}

std::size_t ControlSubscriber::PrimaryIndex() const {
  const bool first_connected =
      subscriptions_[0].link && subscriptions_[0].link->is_connected();
  const bool second_connected =
      subscriptions_[1].link && subscriptions_[1].link->is_connected();
  return !first_connected && second_connected ? 1 : 0;
}

void ControlSubscriber::SwitchToBetter(Time now) {
  if (now < next_switch_) return;
  next_switch_ = now + kSwitchInterval;
  for (const Subscription& subscription : subscriptions_) {
    if (!subscription.link || !subscription.link->is_connected() ||
        !subscription.current) {
      return;
    }
  }
  for (std::size_t i = 0; i < subscriptions_.size(); ++i) {
    Subscription& subscription = subscriptions_[i];
    if (now >= subscription.connected_since + kHealthyAfter) {
      selector_.OnHealthy(subscription.address);
    }
    if (!selector_.HasBetterCandidate(RoleOf(i), subscription.address,
                                      subscriptions_[1 - i].address, now)) {
      continue;
    }
    const auto link = std::exchange(subscription.link, nullptr);
    link->Close();
    return Connect(i, now);
  }
}

void ControlSubscriber::Connect(std::size_t index, Time now) {
  Subscription& subscription = subscriptions_[index];
  subscription.address =
      selector_.Choose(RoleOf(index), subscriptions_[1 - index].address, now);
  const auto endpoint = ParseEndpoint(subscription.address);
  if (!endpoint) return;
  const std::uint64_t attempt = next_attempt_++;
  subscription.attempt = attempt;
  subscription.current = false;
  subscription.stale_since = now;
  FrameLink::Events events;
  events.on_connected = [this, index, attempt] {
    if (subscriptions_[index].attempt != attempt) return;
    Subscription& subscribed = subscriptions_[index];
    subscribed.stale_since = MonotonicNow();
    subscribed.connected_since = subscribed.stale_since;
    subscribed.anti_entropy = AntiEntropyTimer();
    subscribed.total_usage = UsageReceiver();
    subscribed.sent_reports.clear();
    subscribed.next_report = 1;
    subscribed.sent_crash_revision = 0;
    Send(subscribed,
         Hello{options_.name, /*is_entry=*/true, /*accepts_parts=*/true});
    RequestSync(subscribed);
    Report(index);
  };
  events.on_frame = [this, index, attempt](const std::string& frame) {
    if (subscriptions_[index].attempt == attempt) OnFrame(index, frame);
  };
  events.on_disconnected = [this, index, attempt] {
    if (subscriptions_[index].attempt == attempt) {
      DropUnhealthy(index, "disconnected", MonotonicNow());
    }
  };
  subscription.link = FrameLink::Connect(io_, *endpoint, std::move(events));
}

void ControlSubscriber::DropUnhealthy(std::size_t index, const char* reason,
                                      Time now) {
  Subscription& subscription = subscriptions_[index];
  const auto link = std::exchange(subscription.link, nullptr);
  Log(LogLevel::kInfo, Event::kLinkDown,
      {{"peer", subscription.address},
       {"current", subscription.current ? "true" : "false"},
       {"reason", reason},
       {"silent_ms",
        link ? std::to_string(ToMilliseconds(now - link->last_received()))
             : std::string()},
       {"incomplete_bytes",
        link ? std::to_string(link->incomplete_bytes()) : std::string()}});
  selector_.OnUnhealthy(subscription.address, now);
  if (link) link->Close();
  subscription.attempt = 0;
  subscription.address.clear();
}

void ControlSubscriber::OnFrame(std::size_t index, const std::string& frame) {
  const Time now = MonotonicNow();
  const auto message = DecodeFleetMessage(frame);
  if (!message) {
    Log(LogLevel::kWarning, Event::kLinkRefused,
        {{"peer", subscriptions_[index].address}, {"reason", "damaged_frame"}});
    return DropUnhealthy(index, "malformed_frame", now);
  }
  if (const auto* update = std::get_if<EntryUpdate>(&*message)) {
    return OnUpdate(index, *update, now);
  }
  if (const auto* directory_update = std::get_if<DirectoryUpdate>(&*message)) {
    return OnDirectoryUpdate(*directory_update, now);
  }
  if (const auto* usage = std::get_if<UsageReport>(&*message)) {
    // A malformed report is not applied; a new link starts with a full report.
    if (!subscriptions_[index].total_usage.Apply(*usage)) {
      DropUnhealthy(index, "malformed_usage", now);
    }
    return;
  }
  if (const auto* list = std::get_if<PeerList>(&*message)) {
    for (const ControlPeer& peer : list->peers) {
      selector_.AddCandidate(peer.address, {peer.zone, peer.has_disk});
    }
    return;
  }
  if (const auto* request = std::get_if<DirectorySyncRequest>(&*message)) {
    return Send(subscriptions_[index],
                DirectoryUpdate{0, directory_.DifferingRecords(
                                       request->bucket_digests,
                                       request->removed_digest, now)});
  }
  const auto* plan = std::get_if<PlanDocument>(&*message);
  if (plan == nullptr || plan->version <= plan_version_) return;
  plan_version_ = plan->version;
  if (knows_evacuations_) {
    events_.on_plan(*plan);
  } else {
    first_plan_ = *plan;
  }
  for (std::size_t i = 0; i < subscriptions_.size(); ++i) Report(i);
}

void ControlSubscriber::OnUpdate(std::size_t index, const EntryUpdate& update,
                                 Time now) {
  Subscription& subscription = subscriptions_[index];
  if (subscription.current && !update.is_current) {
    subscription.stale_since = now;
  }
  subscription.current = update.is_current;
  // Before the entry can become ready.
  if (update.evacuated) OnEvacuations(*update.evacuated);
  if (!update.crashes.empty() && events_.on_crashes) {
    events_.on_crashes(update.crashes);
  }
  if (index == PrimaryIndex() && events_.on_performance) {
    events_.on_performance({update.pauses, update.latencies});
  }
  const bool differs = !directory_.Matches(update.directory_digest);
  if (subscription.anti_entropy.ShouldRequestSync(differs, now)) {
    RequestSync(subscription);
  }
  if (!update.is_current) return;
  if (!update.is_recovering || !options_.awaits_evacuations) {
    PassFirstPlan();
    if (update.plan_version == plan_version_ && !differs) synced_ = true;
  }
  if (index == PrimaryIndex()) {
    NotifyUsage(subscription, update.included_report);
  }
}

void ControlSubscriber::OnEvacuations(const EvacuatedZones& evacuated) {
  if (evacuated.revision <= evacuation_revision_) return;
  evacuation_revision_ = evacuated.revision;
  if (events_.on_evacuations) events_.on_evacuations(evacuated);
}

void ControlSubscriber::PassFirstPlan() {
  knows_evacuations_ = true;
  const auto plan = std::exchange(first_plan_, std::nullopt);
  if (plan) events_.on_plan(*plan);
}

void ControlSubscriber::NotifyUsage(Subscription& subscription,
                                    std::uint64_t included_report) {
  while (!subscription.sent_reports.empty() &&
         subscription.sent_reports.front().number < included_report) {
    subscription.sent_reports.pop_front();
  }
  TotalUsage others = subscription.total_usage.sum();
  if (!subscription.sent_reports.empty() &&
      subscription.sent_reports.front().number == included_report) {
    const TotalUsage& own = subscription.sent_reports.front().usage;
    SubtractLoad(others.load, own.load);
    SubtractDemand(others.demand, own.demand);
  }
  FleetLoad load;
  for (const auto& [key, one] : others.load) {
    const ServerId server = ServerIdOf(key);
    if (!server.empty()) load[server] = one;
  }
  entries_ = others.entries;
  events_.on_usage(std::move(load), std::move(others.demand), others.entries);
}

ServerId ControlSubscriber::ServerIdOf(ServerKey key) const {
  const auto found = server_ids_.find(key);
  return found == server_ids_.end() ? ServerId() : found->second;
}

void ControlSubscriber::Send(Subscription& subscription,
                             const FleetMessage& message) {
  const EncodedMessage encoded(message);
  traffic_.Count(encoded);
  subscription.link->Send(encoded.bytes, encoded.priority);
}

void ControlSubscriber::RequestSync(Subscription& subscription) {
  Send(subscription, DirectorySyncRequest{directory_.BucketDigests(),
                                          directory_.digest().removed});
}

void ControlSubscriber::OnDirectoryUpdate(
    const DirectoryUpdate& directory_update, Time now) {
  bool changed = false;
  for (const ServerRecord& record : directory_update.records) {
    server_ids_[KeyOf(record.id)] = record.id;
    changed = directory_.Merge(record, now) || changed;
  }
  if (server_ids_.size() >
      kMaxIdsPerServer * (directory_.entries().size() + 1)) {
    TrimServerIds();
  }
  if (changed) events_.on_directory(directory_);
}

void ControlSubscriber::TrimServerIds() {
  server_ids_.clear();
  for (const auto& [server, entry] : directory_.entries()) {
    server_ids_[KeyOf(server)] = server;
  }
}

void ControlSubscriber::OnDrainNotice(const ServerId& server,
                                      std::uint64_t incarnation, Time now) {
  if (!directory_.MarkDraining(server, incarnation, now)) return;
  const DirectoryUpdate directory_update{0, {directory_.Find(server)->record}};
  for (Subscription& subscription : subscriptions_) {
    if (subscription.link) Send(subscription, directory_update);
  }
  events_.on_directory(directory_);
}

EncodedCrashes ControlSubscriber::UnsentCrashes(Subscription& subscription) {
  if (!events_.crash_ledger) return {};
  const CrashLedger& ledger = events_.crash_ledger();
  const std::uint64_t sent =
      std::exchange(subscription.sent_crash_revision, ledger.revision());
  return ledger.Encode(sent, MonotonicNow());
}

void ControlSubscriber::Report(std::size_t index) {
  Subscription& subscription = subscriptions_[index];
  if (!subscription.link || !subscription.link->is_connected()) return;
  EntryReport report;
  report.number = subscription.next_report++;
  report.is_primary = index == PrimaryIndex();
  report.plan_version = plan_version_;
  report.directory_digest = directory_.digest();
  report.crashes = UnsentCrashes(subscription);
  if (report.is_primary) {
    const FleetLoad load = events_.own_load();
    const FleetDemand demand = events_.own_demand();
    report.load = ToList(load);
    report.demand = ToList(demand);
    const Time now = MonotonicNow();
    if (events_.take_performance && now >= next_performance_) {
      next_performance_ = now + kPerformanceInterval;
      PerformanceSums sums = events_.take_performance();
      report.pauses = std::move(sums.pauses);
      report.latencies = std::move(sums.latencies);
    }
    for (const auto& [server, one] : load) server_ids_[KeyOf(server)] = server;
    subscription.sent_reports.push_back(
        {report.number, {1, ToKeyed(load), demand}});
    if (subscription.sent_reports.size() > kMaxUnackedReports) {
      subscription.sent_reports.pop_front();
    }
  }
  Send(subscription, report);
}

}  // namespace coltsfootfork
