#include "shell/gateway/stream_migration.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "shell/clock/monotonic_now.h"
#include "shell/net/http_client.h"
#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

// A refused stream waits for the release of its copy before it tries another
// target. Usual requests to an engine take a few milliseconds.
constexpr std::chrono::milliseconds kReleaseTimeout{200};
// A transfer that outlasts an engine's usual drain notice is of no use.
constexpr std::chrono::milliseconds kTransferTimeout{3000};

// Whether the response to a release says that the copy is freed, or unknown.
bool IsFreed(int status) {
  constexpr int kStatusNotFound = 404;
  return status / 100 == 2 || status == kStatusNotFound;
}

}  // namespace

StreamMigration::StreamMigration(GatewayContext& context, RequestId id,
                                 std::string source, const ServerChoice& target,
                                 const ServerLoad& load,
                                 std::size_t request_bytes)
    : context_(context),
      id_(std::move(id)),
      source_(std::move(source)),
      target_(target),
      reservation_(context.balancer, target.id, load),
      request_bytes_(context.server_requests, target.id, request_bytes),
      next_transfer_timer_(context.io) {}

void StreamMigration::Start(const StopWindow& window,
                            FinishedHandler on_finished) {
  window_ = window;
  precopy_ = PrecopySchedule(context_.options.precopy, window.leave_by);
  on_finished_ = std::move(on_finished);
  RequestTransfer(Transfer::kFull);
}

void StreamMigration::Cancel() {
  on_finished_ = nullptr;
  next_transfer_timer_.cancel();
  reservation_.Release();
  request_bytes_.Set(0);
}

void StreamMigration::Abandon() {
  Cancel();
  // The final transfer may be using the copy.
  if (!stopping_) FreeCopy([] {});
}

void StreamMigration::RequestTransfer(Transfer transfer) {
  stopping_ = transfer == Transfer::kFinal;
  transfer_requested_at_ = MonotonicNow();
  const auto endpoint = ParseEndpoint(source_);
  if (!endpoint) return Report({});
  KvTransferRequest request;
  request.id = id_;
  request.target_address = target_.address;
  request.is_final = stopping_;
  HttpFetch(context_.io, *endpoint,
            context_.protocol.WriteKvTransferRequest(request), kTransferTimeout,
            [self = shared_from_this(), transfer](HttpFetchResult fetched) {
              KvTransferReply reply;
              if (fetched.response) {
                reply = self->context_.protocol.ReadKvTransferReply(
                    *fetched.response);
              }
              self->OnTransferReply(transfer, reply);
            });
}

void StreamMigration::ScheduleTransfer(Transfer transfer, Time at, Time now) {
  if (now >= at) return RequestTransfer(transfer);
  next_transfer_timer_.expires_after(at - now);
  next_transfer_timer_.async_wait(
      [self = shared_from_this(), transfer](boost::system::error_code error) {
        if (!error && self->on_finished_) self->RequestTransfer(transfer);
      });
}

void StreamMigration::Continue(Time now) {
  if (window_.latest && now >= *window_.latest) {
    return FreeAndReport(KvTransferStatus::kFailed);
  }
  const PrecopyStep step = precopy_.Next(std::max(now, window_.earliest));
  if (step.action == PrecopyStep::Action::kCopyAgain) {
    context_.metrics.Count(GatewayCounter::kSmallTransfer);
    return ScheduleTransfer(Transfer::kSmall,
                            std::max(now, window_.earliest) + step.delay, now);
  }
  if (step.action == PrecopyStep::Action::kStopRegardless) {
    context_.metrics.Count(GatewayCounter::kStoppedRegardless);
  }
  ScheduleTransfer(Transfer::kFinal, window_.earliest, now);
}

void StreamMigration::OnTransferReply(Transfer transfer,
                                      const KvTransferReply& reply) {
  if (!on_finished_) return;
  const Time now = MonotonicNow();
  switch (transfer) {
    case Transfer::kFull:
      return OnFullTransfer(reply, now);
    case Transfer::kSmall:
      return OnSmallTransfer(reply, now);
    case Transfer::kFinal:
      return OnFinalTransfer(reply, now);
  }
}

void StreamMigration::OnFullTransfer(const KvTransferReply& reply, Time now) {
  copy_duration_ = now - transfer_requested_at_;
  if (reply.status != KvTransferStatus::kDone) {
    StreamMigrationResult result;
    result.status = reply.status;
    return Report(result);
  }
  copy_handle_ = reply.handle;
  Continue(now);
}

void StreamMigration::OnSmallTransfer(const KvTransferReply& reply, Time now) {
  if (reply.status == KvTransferStatus::kTargetUnavailable) {
    return FreeAndReport(reply.status);
  }
  // Otherwise the earlier copy stays: if the source is gone, the end of its
  // stream is about to arrive, and the stream resumes from that copy.
  const bool done = reply.status == KvTransferStatus::kDone;
  if (done && !reply.handle.empty()) copy_handle_ = reply.handle;
  precopy_.OnSmallTransfer(now - transfer_requested_at_, done);
  Continue(now);
}

void StreamMigration::OnFinalTransfer(const KvTransferReply& reply, Time now) {
  // A refusal without a handle leaves the stream running at the source.
  if (reply.status == KvTransferStatus::kTargetUnavailable &&
      reply.handle.empty()) {
    return FreeAndReport(reply.status);
  }
  StreamMigrationResult result;
  result.status = reply.status;
  result.handle = reply.handle;
  result.copy_duration = copy_duration_;
  result.stop_duration = now - transfer_requested_at_;
  result.small_transfers = precopy_.small_transfers();
  result.last_small_duration = precopy_.last_duration();
  result.stopped = !reply.handle.empty();
  result.at_source = reply.status != KvTransferStatus::kDone;
  Report(result);
}

void StreamMigration::Report(StreamMigrationResult result) {
  reservation_.Release();
  request_bytes_.Set(0);
  const auto handler = std::exchange(on_finished_, nullptr);
  if (handler) handler(std::move(result));
}

void StreamMigration::FreeAndReport(KvTransferStatus status) {
  FreeCopy([self = shared_from_this(), status] {
    StreamMigrationResult result;
    result.status = status;
    self->Report(result);
  });
}

void StreamMigration::FreeCopy(std::function<void()> on_done) {
  const std::string handle = std::exchange(copy_handle_, {});
  const auto endpoint = ParseEndpoint(source_);
  if (handle.empty() || !endpoint ||
      std::holds_alternative<SinglePrecopy>(context_.options.precopy)) {
    return on_done();
  }
  HttpFetch(context_.io, *endpoint,
            context_.protocol.WriteKvCopyRelease(handle), kReleaseTimeout,
            [self = shared_from_this(),
             on_done = std::move(on_done)](const HttpFetchResult& fetched) {
              if (!fetched.response || !IsFreed(fetched.response->status)) {
                self->context_.metrics.Count(GatewayCounter::kCopyNotFreed);
              }
              on_done();
            });
}

}  // namespace coltsfootfork
