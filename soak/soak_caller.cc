#include "soak/soak_caller.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace coltsfootfork {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr int kMaxPauseMilliseconds = 40;
constexpr unsigned kHttp11 = 11;
// Longer than the deadline in the requests.
constexpr std::chrono::seconds kRequestTimeout{8};

const char* PathOf(SoakKind kind) {
  switch (kind) {
    case SoakKind::kStream:
      return "/talk/1";
    case SoakKind::kResumableStream:
      return "/verdict/1";
    case SoakKind::kSale:
      return "/sale/1";
    case SoakKind::kRead:
      break;
  }
  return "/stock/1";
}

}  // namespace

SoakCaller::SoakCaller(boost::asio::io_context& io, std::string name,
                       std::vector<Entry> entries,
                       std::vector<milliseconds> timeouts, std::uint64_t seed,
                       Done done)
    : io_(io),
      name_(std::move(name)),
      entries_(std::move(entries)),
      timeouts_(std::move(timeouts)),
      random_(seed),
      done_(std::move(done)),
      pause_(io) {}

void SoakCaller::Next() {
  idle_ = true;
  if (stopping_) return;
  std::uniform_int_distribution<int> pauses(0, kMaxPauseMilliseconds);
  pause_.expires_after(milliseconds(pauses(random_)));
  pause_.async_wait([this](error_code error) {
    if (error || stopping_) return;
    idle_ = false;
    call_ = name_ + "-" + std::to_string(++number_);
    std::uniform_int_distribution<int> kinds(0,
                                             static_cast<int>(SoakKind::kRead));
    kind_ = static_cast<SoakKind>(kinds(random_));
    if (stream_) return Send();
    Connect();
  });
}

void SoakCaller::Connect() {
  std::uniform_int_distribution<std::size_t> index(0, entries_.size() - 1);
  buffer_.clear();
  stream_.emplace(io_);
  stream_->expires_after(kRequestTimeout);
  entry_ = index(random_);
  stream_->async_connect(entries_[entry_].address, [this](error_code error) {
    if (error) return End(false);
    Send();
  });
}

void SoakCaller::Send() {
  request_ = {http::verb::post, PathOf(kind_), kHttp11};
  request_.set(http::field::host, "a.example");
  request_.set("Request-Id", call_);
  std::uniform_int_distribution<std::size_t> index(0, timeouts_.size() - 1);
  const milliseconds timeout = timeouts_[index(random_)];
  request_.set("Deadline-Ms", std::to_string(timeout.count()));
  times_out_at_ = std::chrono::steady_clock::now() + timeout;
  sent_to_stopping_ = entries_[entry_].is_stopping();
  if (IsStream(kind_)) {
    request_.set("Model", "m");
    request_.set("Token-Counts", "100,600");
  }
  request_.prepare_payload();
  parser_.emplace();
  stream_->expires_after(kRequestTimeout);
  http::async_write(*stream_, request_, [this](error_code error, std::size_t) {
    if (error) return End(false);
    Read();
  });
}

void SoakCaller::Read() {
  http::async_read(*stream_, buffer_, *parser_,
                   [this](error_code error, std::size_t) { End(!error); });
}

ObservedResponse SoakCaller::ObserveResponse(bool complete) const {
  ObservedResponse observed;
  observed.timed_out = std::chrono::steady_clock::now() >= times_out_at_;
  observed.sent_to_stopping = sent_to_stopping_;
  if (!parser_ || !parser_->is_header_done()) return observed;
  const auto& response = parser_->get();
  observed.status = static_cast<int>(response.result_int());
  observed.complete = complete;
  observed.call = std::string(response["Request-Id"]);
  observed.signature = std::string(response["Response-Signature"]);
  observed.body = response.body();
  return observed;
}

void SoakCaller::End(bool complete) {
  const ObservedResponse observed = ObserveResponse(complete);
  const bool keep = complete && parser_->keep_alive();
  parser_.reset();
  if (!keep) stream_.reset();
  done_(call_, kind_, observed);
  Next();
}

}  // namespace coltsfootfork
