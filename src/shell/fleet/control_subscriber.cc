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
// A control process speaks several times within this.
constexpr milliseconds kSilent{800};
constexpr milliseconds kStale{500};
// After so long a control process that serves well is no longer passed over for
// what was before.
constexpr milliseconds kGoodAfter{5000};
// How often an entry moves to a better control process: not all at once when
// one comes back.
constexpr milliseconds kMoveInterval{2000};
// Reports that may be under way before the sums that include them come back.
constexpr std::size_t kKeptReports = 16;
// Names are kept for as many servers as are known, this many times over.
constexpr std::size_t kNamesKept = 4;

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
      selector_(options_.zone, options_.seed) {
  AddSeeds(options_.seeds);
  Tick();
}

ControlSubscriber::~ControlSubscriber() {
  for (Slot& slot : slots_) {
    if (slot.link) slot.link->Close();
  }
}

void ControlSubscriber::AddSeeds(const std::vector<std::string>& seeds) {
  for (const std::string& seed : seeds) selector_.AddCandidate(seed);
}

void ControlSubscriber::Tick() {
  const Time now = MonotonicNow();
  for (std::size_t i = 0; i < slots_.size(); ++i) {
    Slot& slot = slots_[i];
    if (slot.link && slot.link->is_connected()) {
      const bool silent = now >= slot.link->last_received() + kSilent;
      const bool stale = !slot.current && now >= slot.stale_since + kStale;
      if (silent || stale) Leave(i, now);
    }
    if (!slot.link) Connect(i, now);
    Report(i);
  }
  MoveToBetter(now);
  directory_.Expire(now);
  timer_.expires_after(kReportInterval);
  timer_.async_wait(lifetime_.Guard([this](error_code error) {
    if (!error) Tick();
  }));
}

std::size_t ControlSubscriber::Primary() const {
  const bool first = slots_[0].link && slots_[0].link->is_connected();
  const bool second = slots_[1].link && slots_[1].link->is_connected();
  return !first && second ? 1 : 0;
}

void ControlSubscriber::MoveToBetter(Time now) {
  if (now < next_move_) return;
  next_move_ = now + kMoveInterval;
  for (const Slot& slot : slots_) {
    if (!slot.link || !slot.link->is_connected() || !slot.current) return;
  }
  for (std::size_t i = 0; i < slots_.size(); ++i) {
    Slot& slot = slots_[i];
    if (now >= slot.up_since + kGoodAfter) selector_.OnHealthy(slot.address);
    if (!selector_.HasBetterCandidate(RoleOf(i), slot.address,
                                      slots_[1 - i].address, now)) {
      continue;
    }
    const auto link = std::exchange(slot.link, nullptr);
    link->Close();
    return Connect(i, now);
  }
}

void ControlSubscriber::Connect(std::size_t index, Time now) {
  Slot& slot = slots_[index];
  slot.address =
      selector_.Choose(RoleOf(index), slots_[1 - index].address, now);
  const auto endpoint = ParseEndpoint(slot.address);
  if (!endpoint) return;
  const std::uint64_t attempt = next_attempt_++;
  slot.attempt = attempt;
  slot.current = false;
  slot.stale_since = now;
  FrameLink::Events events;
  events.on_connected = [this, index, attempt] {
    if (slots_[index].attempt != attempt) return;
    Slot& up = slots_[index];
    up.stale_since = MonotonicNow();
    up.up_since = up.stale_since;
    up.anti_entropy = AntiEntropyTimer();
    up.all = UsageReceiver();
    up.reports.clear();
    up.next_report = 1;
    Send(up, Hello{options_.name, true});
    Send(up, DirectorySyncRequest{directory_.BucketDigests()});
    Report(index);
  };
  events.on_frame = [this, index, attempt](const std::string& frame) {
    if (slots_[index].attempt == attempt) OnFrame(index, frame);
  };
  events.on_disconnected = [this, index, attempt] {
    if (slots_[index].attempt == attempt) Leave(index, MonotonicNow());
  };
  slot.link = FrameLink::Connect(io_, *endpoint, std::move(events));
}

void ControlSubscriber::Leave(std::size_t index, Time now) {
  Slot& slot = slots_[index];
  Log(LogLevel::kInfo, Event::kLinkDown,
      {{"peer", slot.address}, {"current", slot.current ? "true" : "false"}});
  selector_.OnUnhealthy(slot.address, now);
  const auto link = std::exchange(slot.link, nullptr);
  if (link) link->Close();
  slot.attempt = 0;
  slot.address.clear();
}

void ControlSubscriber::OnFrame(std::size_t index, const std::string& frame) {
  const Time now = MonotonicNow();
  const auto message = DecodeFleetMessage(frame);
  if (!message) {
    Log(LogLevel::kWarning, Event::kLinkRefused,
        {{"peer", slots_[index].address}, {"reason", "damaged_frame"}});
    return Leave(index, now);
  }
  if (const auto* update = std::get_if<EntryUpdate>(&*message)) {
    return OnUpdate(index, *update, now);
  }
  if (const auto* news = std::get_if<DirectoryUpdate>(&*message)) {
    return OnNews(*news, now);
  }
  if (const auto* use = std::get_if<UsageReport>(&*message)) {
    // One that cannot be read changes nothing; the whole comes with the link.
    if (!slots_[index].all.Apply(*use)) Leave(index, now);
    return;
  }
  if (const auto* list = std::get_if<PeerList>(&*message)) {
    for (const ControlPeer& peer : list->peers) {
      selector_.AddCandidate(peer.address, {peer.zone, peer.has_disk});
    }
    return;
  }
  if (const auto* ask = std::get_if<DirectorySyncRequest>(&*message)) {
    return Send(
        slots_[index],
        DirectoryUpdate{0, directory_.DifferingRecords(ask->bucket_digests)});
  }
  const auto* plan = std::get_if<PlanDocument>(&*message);
  if (plan == nullptr || plan->version <= plan_version_) return;
  plan_version_ = plan->version;
  events_.on_plan(*plan);
  for (std::size_t i = 0; i < slots_.size(); ++i) Report(i);
}

void ControlSubscriber::OnUpdate(std::size_t index, const EntryUpdate& update,
                                 Time now) {
  Slot& slot = slots_[index];
  if (slot.current && !update.is_current) slot.stale_since = now;
  slot.current = update.is_current;
  const bool differs = update.directory_digest != directory_.digest();
  if (slot.anti_entropy.ShouldRequestSync(differs, now)) {
    Send(slot, DirectorySyncRequest{directory_.BucketDigests()});
  }
  if (!update.is_current) return;
  if (update.plan_version == plan_version_ &&
      update.directory_digest == directory_.digest()) {
    synced_ = true;
  }
  if (index == Primary()) TellUse(slot, update.included_report);
}

void ControlSubscriber::TellUse(Slot& slot, std::uint64_t report) {
  while (!slot.reports.empty() && slot.reports.front().number < report) {
    slot.reports.pop_front();
  }
  TotalUsage others = slot.all.sum();
  if (!slot.reports.empty() && slot.reports.front().number == report) {
    const TotalUsage& own = slot.reports.front().use;
    SubtractLoad(others.load, own.load);
    SubtractDemand(others.demand, own.demand);
  }
  FleetLoad load;
  for (const auto& [key, one] : others.load) {
    const ServerId name = NameOf(key);
    if (!name.empty()) load[name] = one;
  }
  events_.on_usage(std::move(load), std::move(others.demand), others.entries);
}

ServerId ControlSubscriber::NameOf(ServerKey key) const {
  const auto found = names_.find(key);
  return found == names_.end() ? ServerId() : found->second;
}

void ControlSubscriber::Send(Slot& slot, const FleetMessage& message) {
  const EncodedMessage encoded(message);
  traffic_.Count(encoded);
  slot.link->Send(encoded.bytes);
}

void ControlSubscriber::OnNews(const DirectoryUpdate& news, Time now) {
  bool changed = false;
  for (const ServerRecord& record : news.records) {
    names_[KeyOf(record.id)] = record.id;
    changed = directory_.Merge(record, now) || changed;
  }
  if (names_.size() > kNamesKept * (directory_.entries().size() + 1)) {
    TrimNames();
  }
  if (changed) events_.on_directory(directory_);
}

void ControlSubscriber::TrimNames() {
  names_.clear();
  for (const auto& [server, entry] : directory_.entries()) {
    names_[KeyOf(server)] = server;
  }
}

void ControlSubscriber::OnDrainNotice(const ServerId& server,
                                      std::uint64_t incarnation, Time now) {
  if (!directory_.MarkDraining(server, incarnation, now)) return;
  const DirectoryUpdate news{0, {directory_.Find(server)->record}};
  for (Slot& slot : slots_) {
    if (slot.link) Send(slot, news);
  }
  events_.on_directory(directory_);
}

void ControlSubscriber::Report(std::size_t index) {
  Slot& slot = slots_[index];
  if (!slot.link || !slot.link->is_connected()) return;
  EntryReport report;
  report.number = slot.next_report++;
  report.is_primary = index == Primary();
  report.plan_version = plan_version_;
  report.directory_digest = directory_.digest();
  if (report.is_primary) {
    const FleetLoad load = events_.own_load();
    const FleetDemand demand = events_.own_demand();
    report.load = ToList(load);
    report.demand = ToList(demand);
    for (const auto& [server, one] : load) names_[KeyOf(server)] = server;
    slot.reports.push_back({report.number, {1, ToKeyed(load), demand}});
    if (slot.reports.size() > kKeptReports) slot.reports.pop_front();
  }
  Send(slot, report);
}

}  // namespace coltsfootfork
