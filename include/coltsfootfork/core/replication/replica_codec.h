#pragma once

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

#include "coltsfootfork/core/replication/codec_error.h"
#include "coltsfootfork/core/replication/replica_message.h"

namespace coltsfootfork {

// Encodes a message as a CBOR map. Short keys keep the idle traffic small.
std::string EncodeReplicaMessage(const ReplicaMessage& message);

// Ignores unknown fields. Returns a CodecError for malformed input, a missing
// field or an unknown message kind.
boost::leaf::result<ReplicaMessage> DecodeReplicaMessage(
    std::string_view bytes);

}  // namespace coltsfootfork
