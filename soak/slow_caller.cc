#include "soak/slow_caller.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace coltsfootfork {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr unsigned kHttp11 = 11;
constexpr milliseconds kCallPause{50};
// A steady caller reads 2 MiB/s. An entry pauses a stream for 1.5 s at most, in
// which such a caller reads all that the entry may hold for it.
constexpr std::size_t kReadBytes = 32U << 10U;
constexpr milliseconds kReadInterval{16};
// Small, so that the entry holds most of a response that is not yet read.
constexpr int kReceiveBufferBytes = 256 << 10;
// Far below the pause after which an entry ends a stream. On a machine that was
// busy for longer the caller has not read steadily, and proves nothing.
constexpr milliseconds kMaxReadGap{500};
// How long a caller that reads nothing keeps its connection: longer than the
// pause after which an entry ends its stream.
constexpr milliseconds kUnreadTime{4000};
constexpr const char* kDeadlineMs = "30000";
constexpr std::size_t kUploadBytes = 900U << 10U;

const char* PathOf(SlowCallKind kind) {
  switch (kind) {
    case SlowCallKind::kSteadyStream:
    case SlowCallKind::kUnreadStream:
      return "/replay/1";
    case SlowCallKind::kSteadyResponse:
    case SlowCallKind::kUnreadResponse:
      return "/export/1";
    case SlowCallKind::kUpload:
      break;
  }
  return "/import/1";
}

bool IsUnread(SlowCallKind kind) {
  return kind == SlowCallKind::kUnreadStream ||
         kind == SlowCallKind::kUnreadResponse;
}

}  // namespace

// One call on a connection of its own.
class SlowCaller::Call : public std::enable_shared_from_this<Call> {
 public:
  Call(boost::asio::io_context& io, SlowCaller& caller, std::string id)
      : caller_(&caller), id_(std::move(id)), socket_(io), timer_(io) {
    parser_.body_limit(boost::none);
    parser_.eager(true);
  }

  void Start(const tcp::endpoint& entry) {
    const SlowCallKind kind = caller_->kind_;
    request_ = {http::verb::post, PathOf(kind), kHttp11};
    request_.set(http::field::host, "a.example");
    request_.set("Request-Id", id_);
    request_.set("Deadline-Ms", kDeadlineMs);
    if (kind == SlowCallKind::kUpload) {
      request_.body() = std::string(kUploadBytes, 'x');
    }
    request_.prepare_payload();
    socket_.open(tcp::v4());
    socket_.set_option(tcp::socket::receive_buffer_size(kReceiveBufferBytes));
    socket_.async_connect(entry, [self = shared_from_this()](error_code error) {
      if (error) return self->End();
      self->Send();
    });
  }
  // Ends the call without a report to the caller.
  void Cancel() {
    caller_ = nullptr;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
  }

  const std::string& id() const { return id_; }
  // Unset if the response header was not received completely.
  std::optional<int> status() const {
    if (!parser_.is_header_done()) return std::nullopt;
    return static_cast<int>(parser_.get().result_int());
  }
  bool is_complete() const { return parser_.is_done(); }
  const http::response<http::string_body>& response() const {
    return parser_.get();
  }
  milliseconds max_read_gap() const { return max_read_gap_; }

 private:
  void Send() {
    http::async_write(
        socket_, request_,
        [self = shared_from_this()](error_code error, std::size_t /*size*/) {
          if (error || self->caller_ == nullptr) {
            return self->End();
          }
          if (!IsUnread(self->caller_->kind_)) {
            return self->Read();
          }
          self->After(kUnreadTime, [self] { self->End(); });
        });
  }
  void Read() {
    socket_.async_read_some(
        boost::asio::buffer(bytes_),
        [self = shared_from_this()](error_code error, std::size_t size) {
          if (error || !self->Parse(size)) return self->End();
          // The next read is due after the interval.
          const auto read_at = steady_clock::now();
          self->After(kReadInterval, [self, read_at] {
            const auto gap = std::chrono::duration_cast<milliseconds>(
                steady_clock::now() - read_at);
            self->max_read_gap_ = std::max(self->max_read_gap_, gap);
            self->Read();
          });
        });
  }
  // Parses the bytes. Returns false if the response has ended or is malformed.
  bool Parse(std::size_t size) {
    unparsed_.append(bytes_.data(), size);
    while (!parser_.is_done() && !unparsed_.empty()) {
      error_code error;
      const std::size_t parsed =
          parser_.put(boost::asio::buffer(unparsed_), error);
      unparsed_.erase(0, parsed);
      if (error == http::error::need_more) return true;
      if (error) return false;
    }
    return !parser_.is_done();
  }
  template <typename Work>
  void After(milliseconds delay, Work work) {
    timer_.expires_after(delay);
    timer_.async_wait([work = std::move(work)](error_code error) {
      if (!error) work();
    });
  }
  void End() {
    SlowCaller* const caller = std::exchange(caller_, nullptr);
    error_code ignored;
    socket_.close(ignored);
    if (caller != nullptr) caller->OnEnd(*this);
  }

  SlowCaller* caller_;
  std::string id_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  http::request<http::string_body> request_;
  std::vector<char> bytes_ = std::vector<char>(kReadBytes);
  std::string unparsed_;
  http::response_parser<http::string_body> parser_;
  milliseconds max_read_gap_{0};
};

SlowCaller::SlowCaller(boost::asio::io_context& io, std::string name,
                       SlowCallKind kind, std::vector<SlowCallEntry> entries,
                       const SlowReadingServer& uploads, Finding on_finding)
    : io_(io),
      name_(std::move(name)),
      kind_(kind),
      entries_(std::move(entries)),
      uploads_(uploads),
      on_finding_(std::move(on_finding)),
      pause_(io) {}

SlowCaller::~SlowCaller() { Stop(); }

void SlowCaller::Stop() {
  stopping_ = true;
  pause_.cancel();
  if (call_) call_->Cancel();
}

void SlowCaller::Next() {
  if (stopping_) return;
  const SlowCallEntry& entry = entries_[++number_ % entries_.size()];
  faults_before_ = entry.faults();
  disturbed_before_ = entry.is_disturbed();
  call_ =
      std::make_shared<Call>(io_, *this, name_ + "-" + std::to_string(number_));
  call_->Start(entry.address);
}

void SlowCaller::OnEnd(const Call& call) {
  const SlowCallEntry& entry = entries_[number_ % entries_.size()];
  const bool disturbed = disturbed_before_ || entry.faults() != faults_before_;
  if (IsUnread(kind_) || (call.is_complete() && call.status() == 200)) {
    ++served_;
  }
  std::string problem;
  if (!disturbed && !IsUnread(kind_)) {
    problem = kind_ == SlowCallKind::kUpload ? CheckUpload(call)
                                             : CheckResponse(call);
  }
  if (!problem.empty()) {
    on_finding_(call.id() + " (" + PathOf(kind_) + "): " + problem +
                ", longest time without a read " +
                std::to_string(call.max_read_gap().count()) + " ms");
  }
  pause_.expires_after(kCallPause);
  pause_.async_wait([this](error_code error) {
    if (!error) Next();
  });
}

std::string SlowCaller::CheckResponse(const Call& call) const {
  // The entry may not know the plan or the server yet.
  if (call.status() != 200) return "";
  const auto& response = call.response();
  if (!call.is_complete()) {
    if (call.max_read_gap() > kMaxReadGap) return "";
    return "a steady caller got only " +
           std::to_string(response.body().size()) + " bytes";
  }
  if (response["Request-Id"] != call.id()) return "got another answer";
  const std::size_t size = kind_ == SlowCallKind::kSteadyStream
                               ? kBulkStreamBytes
                               : kBulkResponseBytes;
  if (response.body().size() != size) {
    return "looks complete with " + std::to_string(response.body().size()) +
           " bytes";
  }
  return "";
}

std::string SlowCaller::CheckUpload(const Call& call) const {
  const auto found = uploads_.runs_by_call().find(call.id());
  const int runs = found == uploads_.runs_by_call().end() ? 0 : found->second;
  if (runs > 1) return "ran " + std::to_string(runs) + " times";
  if (runs == 1 && (!call.is_complete() || call.status() != 200)) {
    return "ran without an answer (status " +
           std::to_string(call.status().value_or(0)) + ")";
  }
  if (runs == 0 && call.status() == 200) return "a success that did not run";
  return "";
}

}  // namespace coltsfootfork
