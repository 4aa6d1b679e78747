#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "coltsfootfork/core/gateway/load_reservation.h"
#include "coltsfootfork/core/gateway/precopy_schedule.h"
#include "coltsfootfork/core/overload/server_request_budget.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"
#include "shell/gateway/gateway_context.h"

namespace coltsfootfork {

// Result of the KV transfer of a running stream.
struct StreamMigrationResult {
  // The source has stopped the stream, which can be resumed from the copy.
  bool stopped = false;
  // Handle of the copy if the stream stopped. The copy is on the target, or on
  // the source if `at_source` is set.
  std::string handle;
  bool at_source = false;
  // Duration of the full transfer, and of the final one, during which the
  // stream was stopped.
  Duration copy_duration{0};
  Duration stop_duration{0};
  // Number of small transfers in between, and duration of the last one.
  std::uint32_t small_transfers = 0;
  Duration last_small_duration{0};
  // Reason of a failure, for the log.
  KvTransferStatus status = KvTransferStatus::kFailed;
};

// When a migrating stream may be stopped.
struct StopWindow {
  // The stream is stopped at `earliest` at the earliest, and not at all after
  // `latest` if that is set.
  Time earliest;
  std::optional<Time> latest;
  // When the stream must have left the source.
  Time leave_by;
};

// Transfers the memory of a running stream from one engine to another. A full
// transfer runs while the stream continues, and small ones may follow
// (PrecopySchedule). A final transfer then stops the stream and copies the
// memory added since, so that the stream stalls only for the short final
// transfer. Reserves the load on the target until the result is
// reported, since the copy uses memory there from its first byte.
// transfer runs while the stream continues. A final transfer then stops the
// stream and copies the memory added since, so that the stream stalls only for
// the short final transfer. Reserves the load on the target until the result is
// reported, since the copy uses memory there from its first byte, and the bytes
// of the request, so that the stream can be resumed there.
class StreamMigration : public std::enable_shared_from_this<StreamMigration> {
 public:
  using FinishedHandler = std::function<void(StreamMigrationResult result)>;

  // `source` is the address (IP:PORT) of the engine that runs the stream;
  // `load` is the load of the stream, `request_bytes` the size of the request
  // that is to resume it.
  StreamMigration(GatewayContext& context, RequestId id, std::string source,
                  const ServerChoice& target, const ServerLoad& load,
                  std::size_t request_bytes);

  // Starts the full transfer.
  void Start(const StopWindow& window, FinishedHandler on_finished);
  // Releases the load. The result is not reported any more. The copy remains,
  // to be used.
  void Cancel();
  // Cancels the migration, and frees the copy.
  void Abandon();
  // Whether the final transfer was requested: the end of the stream's response
  // is then no failure.
  bool is_stopping() const { return stopping_; }
  const ServerChoice& target() const { return target_; }
  // Handle of the copy on the target from the last transfer before the final
  // one; empty until the full transfer is done.
  const std::string& copy_handle() const { return copy_handle_; }

 private:
  enum class Transfer : std::uint8_t { kFull = 0, kSmall, kFinal };

  void RequestTransfer(Transfer transfer);
  // Requests the transfer at `at`.
  void ScheduleTransfer(Transfer transfer, Time at, Time now);
  // Decides what follows a transfer during which the stream continued.
  void Continue(Time now);
  void OnTransferReply(Transfer transfer, const KvTransferReply& reply);
  void OnFullTransfer(const KvTransferReply& reply, Time now);
  void OnSmallTransfer(const KvTransferReply& reply, Time now);
  void OnFinalTransfer(const KvTransferReply& reply, Time now);
  void Report(StreamMigrationResult result);
  // Frees the copy on the target before the failure is reported, since a copy
  // for another target may have the same handle.
  void FreeAndReport(KvTransferStatus status);
  // Frees the copy, if any, and calls `on_done`. Without iterative pre-copy,
  // abandoned copies are left to expire.
  void FreeCopy(std::function<void()> on_done);

  GatewayContext& context_;
  RequestId id_;
  std::string source_;
  ServerChoice target_;
  LoadReservation reservation_;
  ServerRequestBytes request_bytes_;
  FinishedHandler on_finished_;
  bool stopping_ = false;
  Time transfer_requested_at_;
  Duration copy_duration_{0};
  std::string copy_handle_;
  StopWindow window_;
  PrecopySchedule precopy_;
  boost::asio::steady_timer next_transfer_timer_;
};

}  // namespace coltsfootfork
