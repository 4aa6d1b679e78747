#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "coltsfootfork/core/gateway/load_reservation.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"
#include "shell/gateway/gateway_context.h"

namespace coltsfootfork {

// How the move of a running stream's memory ended.
struct StreamMoveResult {
  // The stream has stopped where it ran and can go on from the copy.
  bool stopped = false;
  // Only set when it stopped. The copy is at the target, unless `at_source`.
  std::string handle;
  bool at_source = false;
  // How long the first copy took, and the second, while the stream stood still.
  Duration copied_in{0};
  Duration stopped_for{0};
  // Why not, for the log.
  KvTransferStatus status = KvTransferStatus::kFailed;
};

// Moves the memory of a running stream from one engine to another: copies it
// while the stream runs on, then stops the stream and copies what is new, so
// that the pause is as short as the second copy. Until the end is reported the
// copy counts at the target: it takes memory there from its first byte.
class StreamMove : public std::enable_shared_from_this<StreamMove> {
 public:
  using Done = std::function<void(StreamMoveResult result)>;

  // `source` is an address as IP:PORT; `load` is what the stream takes.
  StreamMove(GatewayContext& context, RequestId id, std::string source,
             const ServerChoice& target, const ServerLoad& load);

  // The stream is stopped at `stop_at` at the earliest.
  void Start(Time stop_at, Done done);
  // Nothing is reported any more.
  void Abandon();
  // The stream has been told to stop: its end is no failure.
  bool is_stopping() const { return stopping_; }
  const ServerChoice& target() const { return target_; }
  // The handle of the copy at the target while the stream still runs; empty
  // before there is one.
  const std::string& copy() const { return copy_; }

 private:
  void Order(bool is_final);
  // Orders the stop when its time has come.
  void AwaitStop(Time now);
  void OnAnswer(bool is_final, const KvTransferReply& answer);
  void Report(StreamMoveResult result);

  GatewayContext& context_;
  RequestId id_;
  std::string source_;
  ServerChoice target_;
  LoadReservation reservation_;
  Done done_;
  bool stopping_ = false;
  Time ordered_;
  Duration copied_in_{0};
  std::string copy_;
  Time stop_at_;
  boost::asio::steady_timer stop_timer_;
};

}  // namespace coltsfootfork
