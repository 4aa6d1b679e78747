#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "standin/engine_model.h"
#include "standin/standin_options.h"

namespace coltsfootfork::standin {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

struct Answer {
  int status = 200;
  nlohmann::json body;
};

// Listens, answers the calls of the engine protocol and steps the model.
class EngineServer {
 public:
  EngineServer(boost::asio::io_context& io, StandinOptions options);

  std::string address() const;
  // Answers all but streams.
  Answer Call(const HttpRequest& request);
  // Whether the request would be answered with a stream of tokens.
  static bool IsStream(const HttpRequest& request);
  // Starts or resumes a stream; a status other than 200 tells why not. The
  // first of the pair names the request, the second its generation.
  Answer StartStream(const HttpRequest& request, Sink sink,
                     std::pair<std::string, std::uint32_t>* started);
  // How late the answer to the run that was counted last is.
  std::chrono::milliseconds Lateness() const;

  void SessionOpened() { ++sessions_; }
  void SessionClosed() { --sessions_; }
  void Detach(const std::string& request, std::uint32_t generation);

  nlohmann::json AnnounceBody() const;
  nlohmann::json LoadBody() const;
  EngineModel& model() { return model_; }
  // Takes no new work from now on.
  void Leave() { leaving_ = true; }
  bool drained() const { return leaving_ && model_.idle() && sessions_ == 0; }

 private:
  void Accept();
  void Step();
  void ArmStep();
  bool Refuses();
  void CountRun(const HttpRequest& request);
  Run MakeRun(const HttpRequest& request, const nlohmann::json& body) const;
  Answer Order(const nlohmann::json& order);
  nlohmann::json Counts() const;

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer step_timer_;
  StandinOptions options_;
  EngineModel model_;
  std::uint64_t incarnation_;
  bool step_armed_ = false;
  bool leaving_ = false;
  int sessions_ = 0;
  std::uint64_t requests_ = 0;
  std::uint64_t total_runs_ = 0;
  std::map<std::string, std::uint64_t> runs_;
  std::map<std::string, std::uint64_t> runs_by_body_;
  std::pair<std::uint64_t, std::uint64_t> fence_{0, 0};
  nlohmann::json orders_ = nlohmann::json::array();
};

}  // namespace coltsfootfork::standin
