#pragma once

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

#include "coltsfootfork/core/replication/codec_error.h"
#include "coltsfootfork/core/replication/replica_message.h"

namespace coltsfootfork {

// A message as CBOR: a map with short keys, so that a quiet group costs little.
std::string EncodeReplicaMessage(const ReplicaMessage& message);

// Fields that are not known are skipped. Damaged input, a missing field or an
// unknown kind of message gives a CodecError.
boost::leaf::result<ReplicaMessage> DecodeReplicaMessage(
    std::string_view bytes);

}  // namespace coltsfootfork
