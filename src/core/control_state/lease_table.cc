#include "coltsfootfork/core/control_state/lease_table.h"

#include <algorithm>
#include <utility>

namespace coltsfootfork {
namespace {

// Exceeds the size of any fleet; further processes are refused.
constexpr std::size_t kMaxProcesses = 8192;
// Replaced incarnations to keep per process and per backend server.
constexpr std::size_t kMaxReplacedIncarnations = 8;
// The directory version holds the term in the bits from this one up.
constexpr unsigned kDirectoryTermShift = 32;

template <typename T>
bool Contains(const std::vector<T>& list, const T& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

void AddReplacedIncarnation(std::vector<std::uint64_t>& list,
                            std::uint64_t value) {
  if (list.size() == kMaxReplacedIncarnations) list.erase(list.begin());
  list.push_back(value);
}

bool HasSameDirectoryEntry(const RenewLease& a, const RenewLease& b) {
  return a.address == b.address && a.zone == b.zone && a.server == b.server &&
         a.services == b.services && a.draining == b.draining &&
         a.stopping == b.stopping;
}

bool IsSameAgent(const DirectoryAgent& a, const DirectoryAgent& b) {
  return a.process == b.process && a.address == b.address && a.zone == b.zone &&
         a.server == b.server && a.services == b.services &&
         a.draining == b.draining;
}

// Leaves the key alone if another process has taken it over.
template <typename Map, typename Key>
void EraseIfOwner(Map& owners, const Key& key, const ProcessId& process) {
  const auto owner = owners.find(key);
  if (owner != owners.end() && owner->second == process) owners.erase(owner);
}

DirectoryAgent MakeDirectoryAgent(const RenewLease& last,
                                  const std::vector<ServiceId>& listed) {
  DirectoryAgent agent;
  agent.process = last.process;
  agent.address = last.address;
  agent.zone = last.zone;
  agent.server = last.server;
  for (const ServiceId& service : last.services) {
    if (Contains(listed, service)) agent.services.push_back(service);
  }
  agent.draining = last.draining || last.stopping;
  return agent;
}

}  // namespace

void LeaseTable::Reset(std::uint64_t term, Time now) {
  LeaseTable reset_table(limits_);
  reset_table.rules_ = std::move(rules_);
  // The directory version must not decrease within a term.
  if (term == term_) reset_table.directory_sequence_ = directory_sequence_;
  reset_table.term_ = term;
  reset_table.started_at_ = now;
  *this = std::move(reset_table);
}

bool LeaseTable::IsLive(const Holder& holder, Time now) const {
  return now - holder.renewed_at < limits_.lease;
}

std::size_t LeaseTable::live_count(Time now) const {
  return static_cast<std::size_t>(std::count_if(
      holders_.begin(), holders_.end(),
      [&](const auto& holder) { return IsLive(holder.second, now); }));
}

bool LeaseTable::Renew(const RenewLease& renew, Time now) {
  const auto holder = holders_.find(renew.process);
  if (holder != holders_.end() && IsReplaced(holder->second, renew, now)) {
    return Refuse(renew, "a later incarnation has replaced this one", now);
  }
  if (holder == holders_.end() && holders_.size() >= kMaxProcesses) {
    return Refuse(renew, "too many processes", now);
  }
  if (LosesAddressConflict(renew, now)) {
    return Refuse(renew, "a newer process has the address " + renew.address,
                  now);
  }
  if (LosesServerConflict(renew, now)) {
    return Refuse(renew, "a newer process has the engine", now);
  }
  Accept(renew, now);
  return true;
}

bool LeaseTable::IsReplaced(const Holder& holder, const RenewLease& renew,
                            Time now) const {
  // Incarnations are start times. If the host's clock has stepped back, a
  // restarted process is accepted once the lease of its previous incarnation
  // has expired.
  const bool older =
      renew.incarnation < holder.last.incarnation && IsLive(holder, now);
  const bool replaced_server =
      renew.server == holder.last.server &&
      Contains(holder.replaced_servers, renew.server_incarnation);
  return older || replaced_server ||
         Contains(holder.replaced_processes, renew.incarnation);
}

const LeaseTable::Holder* LeaseTable::FindOtherLiveHolder(
    const ProcessId& owner, const RenewLease& renew, Time now) const {
  if (owner == renew.process) return nullptr;
  const auto holder = holders_.find(owner);
  if (holder == holders_.end() || !IsLive(holder->second, now)) return nullptr;
  return &holder->second;
}

bool LeaseTable::LosesAddressConflict(const RenewLease& renew, Time now) {
  const auto owner = by_address_.find(renew.address);
  if (owner == by_address_.end()) return false;
  const Holder* other = FindOtherLiveHolder(owner->second, renew, now);
  if (other == nullptr) return false;
  if (other->last.incarnation >= renew.incarnation) return true;
  RemoveHolder(ProcessId(owner->second));
  return false;
}

bool LeaseTable::LosesServerConflict(const RenewLease& renew, Time now) {
  const auto owner = by_server_.find(renew.server);
  if (owner == by_server_.end()) return false;
  const Holder* other = FindOtherLiveHolder(owner->second, renew, now);
  if (other == nullptr) return false;
  const RenewLease& last = other->last;
  const bool other_is_newer =
      last.server_incarnation != renew.server_incarnation
          ? last.server_incarnation > renew.server_incarnation
          : last.incarnation >= renew.incarnation;
  if (other_is_newer) return true;
  RemoveHolder(ProcessId(owner->second));
  return false;
}

bool LeaseTable::Refuse(const RenewLease& renew, std::string problem,
                        Time now) {
  const bool is_known = refusals_.count(renew.process) > 0;
  if (is_known || refusals_.size() < kMaxProcesses) {
    refusals_[renew.process] = {std::move(problem), now};
  }
  return false;
}

void LeaseTable::Accept(const RenewLease& renew, Time now) {
  Holder& holder = holders_[renew.process];
  const RenewLease& last = holder.last;
  const bool is_known = !last.process.empty();
  if (is_known && last.incarnation != renew.incarnation) {
    AddReplacedIncarnation(holder.replaced_processes, last.incarnation);
    holder.replaced_servers.clear();
  } else if (is_known && last.server == renew.server &&
             last.server_incarnation != renew.server_incarnation) {
    AddReplacedIncarnation(holder.replaced_servers, last.server_incarnation);
  }
  if (!is_known || !HasSameDirectoryEntry(last, renew)) directory_stale_ = true;
  EraseIfOwner(by_address_, last.address, renew.process);
  EraseIfOwner(by_server_, last.server, renew.process);
  if (!renew.address.empty()) by_address_[renew.address] = renew.process;
  if (!renew.server.empty()) by_server_[renew.server] = renew.process;
  holder.last = renew;
  holder.renewed_at = now;
  refusals_.erase(renew.process);
}

void LeaseTable::RemoveHolder(const ProcessId& process) {
  const auto holder = holders_.find(process);
  if (holder == holders_.end()) return;
  EraseIfOwner(by_address_, holder->second.last.address, process);
  EraseIfOwner(by_server_, holder->second.last.server, process);
  holders_.erase(holder);
  directory_stale_ = true;
}

void LeaseTable::RemoveExpired(Time now) {
  std::vector<ProcessId> expired;
  for (const auto& [process, holder] : holders_) {
    if (now - holder.renewed_at >= limits_.status_retention) {
      expired.push_back(process);
    }
  }
  for (const ProcessId& process : expired) RemoveHolder(process);
  for (auto refusal = refusals_.begin(); refusal != refusals_.end();) {
    const bool old = now - refusal->second.at >= limits_.status_retention;
    refusal = old ? refusals_.erase(refusal) : std::next(refusal);
  }
}

void LeaseTable::Tick(Time now) {
  RemoveExpired(now);
  for (auto& [process, holder] : holders_) {
    const bool live = IsLive(holder, now);
    if (live != holder.was_live_at_last_tick) directory_stale_ = true;
    holder.was_live_at_last_tick = live;
  }
}

void LeaseTable::SetRules(std::shared_ptr<const ServingRules> rules) {
  rules_ = std::move(rules);
  directory_stale_ = true;
}

std::uint64_t LeaseTable::directory_version(Time now) {
  if (now - started_at_ < limits_.lease) return 0;
  RefreshDirectory(now);
  return (term_ << kDirectoryTermShift) + directory_sequence_;
}

const std::vector<DirectoryAgent>& LeaseTable::directory(Time now) {
  RefreshDirectory(now);
  return directory_;
}

void LeaseTable::RefreshDirectory(Time now) {
  if (!directory_stale_) return;
  directory_stale_ = false;
  std::vector<DirectoryAgent> agents;
  for (const auto& [process, holder] : holders_) {
    const InventoryServer* listed = FindListedServer(holder.last);
    if (listed == nullptr || !IsLive(holder, now)) continue;
    DirectoryAgent agent = MakeDirectoryAgent(holder.last, listed->services);
    // A backend server without a listed service receives no work.
    if (!agent.services.empty()) agents.push_back(std::move(agent));
  }
  const bool unchanged =
      std::equal(agents.begin(), agents.end(), directory_.begin(),
                 directory_.end(), IsSameAgent);
  if (unchanged && directory_built_) return;
  directory_built_ = true;
  directory_ = std::move(agents);
  ++directory_sequence_;
}

const InventoryServer* LeaseTable::FindListedServer(
    const RenewLease& last) const {
  if (rules_ == nullptr || last.server.empty()) return nullptr;
  const InventoryServer* listed = rules_->FindServer(last.server);
  return listed != nullptr && listed->zone == last.zone ? listed : nullptr;
}

std::string LeaseTable::InventoryProblem(const RenewLease& last) const {
  if (rules_ == nullptr || last.server.empty()) return {};
  const InventoryServer* expected = rules_->FindServer(last.server);
  if (expected == nullptr) return "the inventory has no such engine";
  if (expected->zone != last.zone) {
    return "announced in availability zone " + last.zone.value() +
           ", but the inventory has it in " + expected->zone.value();
  }
  for (const ServiceId& service : last.services) {
    if (!Contains(expected->services, service)) {
      return "announces service " + service.value() +
             ", which the inventory does not list for it";
    }
  }
  return {};
}

std::vector<ProcessStatus> LeaseTable::Status(Time now) const {
  std::vector<ProcessStatus> list;
  for (const auto& [process, holder] : holders_) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        holder.renewed_at + limits_.lease - now);
    list.push_back({holder.last, std::max(left, std::chrono::milliseconds(0))});
  }
  return list;
}

std::vector<Finding> LeaseTable::FindingsAt(Time now) const {
  std::vector<Finding> findings;
  for (const auto& [process, holder] : holders_) {
    if (!IsLive(holder, now)) continue;
    std::string problem = InventoryProblem(holder.last);
    if (problem.empty()) continue;
    findings.push_back(
        {"engine " + holder.last.server.value(), std::move(problem)});
  }
  for (const auto& [process, refusal] : refusals_) {
    findings.push_back({"process " + process.value(), refusal.problem});
  }
  return findings;
}

}  // namespace coltsfootfork
