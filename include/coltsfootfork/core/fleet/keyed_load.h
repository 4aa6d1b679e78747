#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "coltsfootfork/core/fleet/server_load.h"
#include "coltsfootfork/core/types/ids.h"

// A compact form of many servers' loads for messages: servers have short keys,
// and only changes are sent after the first message.
namespace coltsfootfork {

// A hash of a server id. If two servers' keys collide, each appears to have the
// load of both.
using ServerKey = std::uint32_t;
ServerKey KeyOf(const ServerId& server);

using KeyedLoad = std::map<ServerKey, ServerLoad>;

KeyedLoad ToKeyed(const FleetLoad& load);
void AddLoad(KeyedLoad& sum, const KeyedLoad& more);
// Subtracts a part from a sum. Each difference is clamped at zero, because the
// part may have been measured at another time than the sum.
void SubtractLoad(KeyedLoad& sum, const KeyedLoad& part);

// Returns the servers whose load differs, each with its load in `after`, which
// is zero for a server that is absent there.
KeyedLoad ChangesOf(const KeyedLoad& before, const KeyedLoad& after);
void ApplyChanges(KeyedLoad& load, const KeyedLoad& changes);

// The key, calls, tokens and pending prefill tokens of each server, in
// sequence.
using EncodedLoad = std::vector<std::uint64_t>;
EncodedLoad EncodeLoad(const KeyedLoad& load);
// Returns nullopt if the input is malformed.
std::optional<KeyedLoad> DecodeLoad(const EncodedLoad& numbers);

}  // namespace coltsfootfork
