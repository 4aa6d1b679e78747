#include <algorithm>
#include <utility>

#include "shell/clock/monotonic_now.h"
#include "shell/fleet/control_node.h"
#include "shell/log/event.h"

// The part of ControlNode that keeps the directory of backend servers.
namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

// A heartbeat's sender waits a second for its answer.
constexpr milliseconds kNewsTimeout{850};
// What comes within this reaches entries as one message: engines are started
// and taken away by the dozen.
constexpr milliseconds kNewsPause{20};

}  // namespace

void ControlNode::OnHeartbeat(const ServerRecord& record, BeatDone done) {
  const Time now = MonotonicNow();
  ++counts_.heartbeats;
  const bool news = directory_.Merge(record, now);
  const ServerDirectory::Entry* entry = directory_.Find(record.id);
  const bool leaving = entry != nullptr &&
                       entry->record.state != ServerState::kReady &&
                       record.state != ServerState::kReady;
  if (news) {
    Log(LogLevel::kInfo,
        record.state == ServerState::kReady ? Event::kServerAnnounced
                                            : Event::kServerDraining,
        {{"server", record.id.value()},
         {"service", record.service.value()},
         {"address", record.address},
         {"born", std::to_string(record.incarnation)},
         {"sequence", std::to_string(record.sequence)}});
    TellEntries({entry->record});
  }
  // That a server is there needs no promise; that it leaves does.
  if (!leaving) {
    if (news) Spread({entry->record}, nullptr, now);
    return done(true);
  }
  Spread({entry->record}, std::move(done), now);
}

void ControlNode::OnDeregister(const ServerId& id, std::uint64_t incarnation,
                               BeatDone done) {
  const Time now = MonotonicNow();
  const bool news = directory_.MarkRemoved(id, incarnation, now);
  const ServerRecord record = directory_.Find(id)->record;
  if (news) {
    Log(LogLevel::kInfo, Event::kServerDraining,
        {{"server", id.value()},
         {"service", record.service.value()},
         {"address", record.address},
         {"born", std::to_string(record.incarnation)},
         {"state", "gone"}});
    TellEntries({record});
  }
  if (record.state != ServerState::kRemoved) return done(true);
  Spread({record}, std::move(done), now);
}

void ControlNode::Spread(const std::vector<ServerRecord>& records,
                         BeatDone done, Time now) {
  DirectoryUpdate news;
  news.records = records;
  if (done) {
    // Before there are voters nobody can have been told to rely on them.
    if (!quorum_.has_voters() || quorum_.IsMajority({})) {
      done(true);
    } else {
      news.token = next_id_++;
      waiting_news_[news.token] = {{}, std::move(done), now + kNewsTimeout};
    }
  }
  const EncodedMessage message(std::move(news));
  for (auto& [name, peer] : peers_) {
    if (peer.link) Send(*peer.link, message);
  }
}

void ControlNode::TellEntries(const std::vector<ServerRecord>& records) {
  const bool waits = !entry_news_.empty();
  entry_news_.insert(entry_news_.end(), records.begin(), records.end());
  if (waits || entry_news_.empty()) return;
  news_timer_.expires_after(kNewsPause);
  news_timer_.async_wait(
      lifetime_.Guard([this](boost::system::error_code error) {
        if (!error) FlushNews();
      }));
}

void ControlNode::FlushNews() {
  DirectoryUpdate news;
  news.records = std::exchange(entry_news_, {});
  const bool someone_leaves = std::any_of(
      news.records.begin(), news.records.end(),
      [](const ServerRecord& one) { return one.state != ServerState::kReady; });
  const EncodedMessage message(std::move(news));
  for (auto& [number, incoming] : incoming_links_) {
    // That a server is there an entry hears once, that it leaves twice.
    const bool told =
        incoming.entry && (incoming.entry->is_primary || someone_leaves);
    if (told) Send(*incoming.link, message);
  }
}

void ControlNode::On(const std::string& from, const DirectoryUpdate& news,
                     Time now) {
  TakeNews(news, now);
  if (news.token != 0) SendTo(from, DirectoryAck{news.token});
}

std::vector<ServerRecord> ControlNode::TakeNews(const DirectoryUpdate& news,
                                                Time now) {
  std::vector<ServerRecord> fresh;
  for (const ServerRecord& record : news.records) {
    if (!directory_.Merge(record, now)) continue;
    fresh.push_back(directory_.Find(record.id)->record);
  }
  if (!fresh.empty()) TellEntries(fresh);
  return fresh;
}

void ControlNode::On(const std::string& from, const DirectoryAck& ack,
                     Time /*now*/) {
  const auto waiting = waiting_news_.find(ack.token);
  if (waiting == waiting_news_.end()) return;
  waiting->second.acknowledged.insert(from);
  if (!quorum_.IsMajority(waiting->second.acknowledged)) return;
  const BeatDone done = std::move(waiting->second.done);
  waiting_news_.erase(waiting);
  done(true);
}

void ControlNode::On(const std::string& from, const DirectorySyncRequest& ask,
                     Time /*now*/) {
  SendTo(from,
         DirectoryUpdate{0, directory_.DifferingRecords(ask.bucket_digests)});
}

void ControlNode::ExpireWaiting(Time now) {
  std::vector<BeatDone> late;
  for (auto waiting = waiting_news_.begin(); waiting != waiting_news_.end();) {
    if (now < waiting->second.until) {
      ++waiting;
      continue;
    }
    late.push_back(std::move(waiting->second.done));
    waiting = waiting_news_.erase(waiting);
  }
  counts_.leavings_unheard += late.size();
  for (const BeatDone& done : late) done(false);
}

}  // namespace coltsfootfork
