#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "coltsfootfork/core/replication/log_entry.h"

namespace coltsfootfork {

// Returns the highest value that a majority of the selected members has
// reached, if any. `value_of` returns a member's value, if it has one; `counts`
// selects the members.
template <typename Value, typename ValueOf, typename Counts>
std::optional<Value> MajorityValue(const Membership& membership,
                                   const ValueOf& value_of,
                                   const Counts& counts) {
  std::size_t voters = 0;
  std::vector<Value> values;
  for (const Member& member : membership.members) {
    if (!counts(member)) continue;
    ++voters;
    const std::optional<Value> value = value_of(member);
    if (value) values.push_back(*value);
  }
  const std::size_t majority = voters / 2 + 1;
  if (values.size() < majority) return std::nullopt;
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[majority - 1];
}

// Returns the highest value that a quorum has reached, if any. In joint
// consensus a quorum is a majority of the old and a majority of the new
// configuration.
template <typename Value, typename ValueOf>
std::optional<Value> QuorumValue(const Membership& membership,
                                 const ValueOf& value_of) {
  const auto before = MajorityValue<Value>(
      membership, value_of,
      [](const Member& one) { return one.VotesInOldConfig(); });
  const auto after = MajorityValue<Value>(
      membership, value_of,
      [](const Member& one) { return one.VotesInNewConfig(); });
  if (!before || !after) return std::nullopt;
  return std::min(*before, *after);
}

// Returns true if the members that fulfil the condition form a quorum.
template <typename Condition>
bool IsQuorum(const Membership& membership, const Condition& condition) {
  const auto reached = QuorumValue<int>(membership, [&](const Member& member) {
    return std::optional<int>(condition(member) ? 1 : 0);
  });
  return reached == 1;
}

}  // namespace coltsfootfork
