#include "coltsfootfork/core/overload/server_request_budget.h"

#include <algorithm>
#include <utility>

namespace coltsfootfork {

void ServerRequestBudget::SetEntryCount(std::uint32_t count) {
  entries_ = std::max<std::uint32_t>(count, 1);
}

void ServerRequestBudget::Add(const ServerId& server, std::size_t bytes) {
  const auto found = bytes_.find(server);
  SetBytes(server, (found == bytes_.end() ? 0 : found->second) + bytes);
}

void ServerRequestBudget::Remove(const ServerId& server, std::size_t bytes) {
  const auto found = bytes_.find(server);
  if (found == bytes_.end()) return;
  SetBytes(server, found->second - std::min(found->second, bytes));
}

void ServerRequestBudget::SetBytes(const ServerId& server, std::size_t bytes) {
  const auto found = bytes_.find(server);
  if (found != bytes_.end()) {
    by_bytes_.erase({found->second, server});
    if (bytes == 0) bytes_.erase(found);
  }
  if (bytes == 0) return;
  bytes_[server] = bytes;
  by_bytes_.insert({bytes, server});
}

bool ServerRequestBudget::Admits(const ServerId& server,
                                 std::size_t bytes) const {
  const auto found = bytes_.find(server);
  return found == bytes_.end() || Fits(found->second, bytes);
}

std::set<ServerId> ServerRequestBudget::FullServers(std::size_t bytes) const {
  std::set<ServerId> full;
  for (auto held = by_bytes_.rbegin(); held != by_bytes_.rend(); ++held) {
    if (Fits(held->first, bytes)) break;
    full.insert(held->second);
  }
  return full;
}

std::size_t ServerRequestBudget::max_bytes() const {
  return by_bytes_.empty() ? 0 : by_bytes_.rbegin()->first;
}

ServerRequestBytes::ServerRequestBytes(
    std::shared_ptr<ServerRequestBudget> budget, ServerId server,
    std::size_t bytes)
    : budget_(std::move(budget)), server_(std::move(server)) {
  Set(bytes);
}

ServerRequestBytes::~ServerRequestBytes() { Set(0); }

void ServerRequestBytes::Set(std::size_t bytes) {
  budget_->Remove(server_, bytes_);
  budget_->Add(server_, bytes);
  bytes_ = bytes;
}

}  // namespace coltsfootfork
