#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "coltsfootfork/core/fleet/server_load.h"
#include "coltsfootfork/core/types/ids.h"

// Loads of many servers as processes tell them to each other: by short keys,
// and after the first time only what has changed.
namespace coltsfootfork {

// A short name of a server. Two servers may share one by chance; both then look
// as loaded as they are together.
using ServerKey = std::uint32_t;
ServerKey KeyOf(const ServerId& server);

using KeyedLoad = std::map<ServerKey, ServerLoad>;

KeyedLoad ToKeyed(const FleetLoad& load);
void AddLoad(KeyedLoad& sum, const KeyedLoad& more);
// What is left of a sum without a part of it, which may be of another moment.
void SubtractLoad(KeyedLoad& sum, const KeyedLoad& part);

// What differs: the later load of each server, which is nothing for one that
// has none any more.
KeyedLoad ChangesOf(const KeyedLoad& before, const KeyedLoad& after);
void ApplyChanges(KeyedLoad& load, const KeyedLoad& changes);

// Key, calls, tokens and pending prefill tokens of each server, one after the
// other.
using EncodedLoad = std::vector<std::uint64_t>;
EncodedLoad EncodeLoad(const KeyedLoad& load);
// Nothing where the numbers are no such list.
std::optional<KeyedLoad> DecodeLoad(const EncodedLoad& numbers);

}  // namespace coltsfootfork
