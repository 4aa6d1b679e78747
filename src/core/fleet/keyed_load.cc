#include "coltsfootfork/core/fleet/keyed_load.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace coltsfootfork {
namespace {

constexpr std::size_t kNumbersPerServer = 4;

bool IsZero(const ServerLoad& load) {
  return load.calls == 0 && load.tokens == 0 &&
         load.pending_prefill_tokens == 0;
}

bool IsSame(const ServerLoad& a, const ServerLoad& b) {
  return a.calls == b.calls && a.tokens == b.tokens &&
         a.pending_prefill_tokens == b.pending_prefill_tokens;
}

}  // namespace

ServerKey KeyOf(const ServerId& server) {
  const std::string& text = server.value();
  return XXH32(text.data(), text.size(), 0);
}

KeyedLoad ToKeyed(const FleetLoad& load) {
  KeyedLoad keyed;
  for (const auto& [server, server_load] : load) {
    AddLoad(keyed, {{KeyOf(server), server_load}});
  }
  return keyed;
}

void AddLoad(KeyedLoad& sum, const KeyedLoad& more) {
  for (const auto& [key, load] : more) {
    ServerLoad& total = sum[key];
    total.calls += load.calls;
    total.tokens += load.tokens;
    total.pending_prefill_tokens += load.pending_prefill_tokens;
  }
}

void SubtractLoad(KeyedLoad& sum, const KeyedLoad& part) {
  for (const auto& [key, load] : part) {
    const auto found = sum.find(key);
    if (found == sum.end()) continue;
    ServerLoad& remaining = found->second;
    remaining.calls -= std::min(remaining.calls, load.calls);
    remaining.tokens -= std::min(remaining.tokens, load.tokens);
    remaining.pending_prefill_tokens -=
        std::min(remaining.pending_prefill_tokens, load.pending_prefill_tokens);
  }
}

KeyedLoad ChangesOf(const KeyedLoad& before, const KeyedLoad& after) {
  KeyedLoad changes;
  for (const auto& [key, load] : after) {
    const auto found = before.find(key);
    const bool is_same =
        found == before.end() ? IsZero(load) : IsSame(found->second, load);
    if (!is_same) changes[key] = load;
  }
  for (const auto& [key, load] : before) {
    if (after.count(key) == 0 && !IsZero(load)) changes[key] = ServerLoad();
  }
  return changes;
}

void ApplyChanges(KeyedLoad& load, const KeyedLoad& changes) {
  for (const auto& [key, server_load] : changes) {
    if (IsZero(server_load)) {
      load.erase(key);
    } else {
      load[key] = server_load;
    }
  }
}

EncodedLoad EncodeLoad(const KeyedLoad& load) {
  EncodedLoad numbers;
  numbers.reserve(kNumbersPerServer * load.size());
  for (const auto& [key, server_load] : load) {
    numbers.insert(numbers.end(), {key, server_load.calls, server_load.tokens,
                                   server_load.pending_prefill_tokens});
  }
  return numbers;
}

std::optional<KeyedLoad> DecodeLoad(const EncodedLoad& numbers) {
  if (numbers.size() % kNumbersPerServer != 0) return std::nullopt;
  constexpr std::uint64_t kMaxUint32 =
      std::numeric_limits<std::uint32_t>::max();
  KeyedLoad load;
  for (std::size_t i = 0; i < numbers.size(); i += kNumbersPerServer) {
    if (numbers[i] > kMaxUint32 || numbers[i + 1] > kMaxUint32) {
      return std::nullopt;
    }
    load[static_cast<ServerKey>(numbers[i])] = {
        static_cast<std::uint32_t>(numbers[i + 1]), numbers[i + 2],
        numbers[i + 3]};
  }
  return load;
}

}  // namespace coltsfootfork
