#include "shell/gateway/stream_move.h"

#include <chrono>
#include <utility>

#include "shell/clock/monotonic_now.h"
#include "shell/net/http_client.h"
#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

// A copy that takes longer than an engine's usual notice is of no use.
constexpr std::chrono::milliseconds kMoveTimeout{3000};

}  // namespace

StreamMove::StreamMove(GatewayContext& context, RequestId id,
                       std::string source, const ServerChoice& target,
                       const ServerLoad& load)
    : context_(context),
      id_(std::move(id)),
      source_(std::move(source)),
      target_(target),
      reservation_(context.balancer, target.id, load),
      stop_timer_(context.io) {}

void StreamMove::Start(Time stop_at, Done done) {
  stop_at_ = stop_at;
  done_ = std::move(done);
  Order(/*is_final=*/false);
}

void StreamMove::Abandon() {
  done_ = nullptr;
  stop_timer_.cancel();
  reservation_.Release();
}

void StreamMove::Order(bool is_final) {
  stopping_ = is_final;
  ordered_ = MonotonicNow();
  const auto endpoint = ParseEndpoint(source_);
  if (!endpoint) return Report({});
  KvTransferRequest order;
  order.id = id_;
  order.target_address = target_.address;
  order.is_final = is_final;
  HttpFetch(context_.io, *endpoint,
            context_.protocol.WriteKvTransferRequest(order), kMoveTimeout,
            [self = shared_from_this(), is_final](HttpFetchResult fetched) {
              KvTransferReply answer;
              if (fetched.response) {
                answer = self->context_.protocol.ReadKvTransferReply(
                    *fetched.response);
              }
              self->OnAnswer(is_final, answer);
            });
}

void StreamMove::AwaitStop(Time now) {
  if (now >= stop_at_) return Order(/*is_final=*/true);
  stop_timer_.expires_after(stop_at_ - now);
  stop_timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        if (!error && self->done_) self->Order(/*is_final=*/true);
      });
}

void StreamMove::OnAnswer(bool is_final, const KvTransferReply& answer) {
  if (!done_) return;
  StreamMoveResult result;
  result.status = answer.status;
  result.handle = answer.handle;
  const Duration taken = MonotonicNow() - ordered_;
  if (!is_final) {
    copied_in_ = taken;
    if (answer.status != KvTransferStatus::kDone) return Report(result);
    copy_ = answer.handle;
    return AwaitStop(MonotonicNow());
  }
  result.copied_in = copied_in_;
  result.stopped_for = taken;
  result.stopped = !answer.handle.empty();
  result.at_source = answer.status != KvTransferStatus::kDone;
  Report(result);
}

void StreamMove::Report(StreamMoveResult result) {
  reservation_.Release();
  const auto done = std::exchange(done_, nullptr);
  if (done) done(std::move(result));
}

}  // namespace coltsfootfork
