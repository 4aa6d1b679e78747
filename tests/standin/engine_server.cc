#include "standin/engine_server.h"

#include <boost/asio/ip/address.hpp>
#include <memory>
#include <random>
#include <sstream>

#include "standin/engine_session.h"

namespace coltsfootfork::standin {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;

constexpr std::uint32_t kBytesPerToken = 4;

tcp::endpoint ParseEndpoint(const std::string& address) {
  const auto colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

std::string Header(const HttpRequest& request, const char* name) {
  return std::string(request[name]);
}

std::uint32_t NumberHeader(const HttpRequest& request, const char* name,
                           std::uint32_t fallback) {
  const std::string text = Header(request, name);
  return text.empty() ? fallback : std::stoul(text);
}

std::string Prompt(const json& body) {
  if (!body.contains("messages")) return body.value("prompt", "");
  return body["messages"].empty()
             ? ""
             : body["messages"].back().value("content", "");
}

}  // namespace

EngineServer::EngineServer(asio::io_context& io, StandinOptions options)
    : acceptor_(io, ParseEndpoint(options.listen)),
      step_timer_(io),
      options_(std::move(options)),
      model_(options_) {
  std::random_device random;
  incarnation_ = (std::uint64_t{random()} << 20) + random();
  Accept();
}

std::string EngineServer::address() const {
  std::ostringstream text;
  text << acceptor_.local_endpoint();
  return text.str();
}

void EngineServer::Accept() {
  acceptor_.async_accept([this](boost::system::error_code error, auto socket) {
    if (!error) {
      std::make_shared<EngineSession>(*this, std::move(socket))->Read();
    }
    Accept();
  });
}

void EngineServer::ArmStep() {
  if (step_armed_ || model_.idle()) return;
  step_armed_ = true;
  step_timer_.expires_after(model_.StepTime());
  step_timer_.async_wait([this](boost::system::error_code) {
    step_armed_ = false;
    Step();
  });
}

void EngineServer::Step() {
  model_.Step(std::chrono::steady_clock::now());
  ArmStep();
}

bool EngineServer::Refuses() {
  ++requests_;
  return leaving_ ||
         (options_.refuse_every && requests_ % options_.refuse_every == 0);
}

void EngineServer::CountRun(const HttpRequest& request) {
  std::string key = Header(request, "Idempotency-Key");
  if (key.empty()) key = Header(request, "X-Request-Id");
  ++runs_[key];
  ++runs_by_body_[request.body()];
  ++total_runs_;
}

std::chrono::milliseconds EngineServer::Lateness() const {
  return total_runs_ % 2 == 1 ? options_.late : std::chrono::milliseconds(0);
}

bool EngineServer::IsStream(const HttpRequest& request) {
  return request.target() == "/v1/completions" ||
         request.target() == "/v1/chat/completions" ||
         request.target() == "/engine/v1/resume";
}

Run EngineServer::MakeRun(const HttpRequest& request, const json& body) const {
  Run run;
  run.request = Header(request, "X-Request-Id");
  run.generation = NumberHeader(request, "X-Generation", 1);
  run.priority = NumberHeader(request, "X-Priority", 1);
  const std::string prompt = Prompt(body);
  run.marker = prompt.substr(0, prompt.find(' '));
  run.prompt_tokens = 1 + prompt.size() / kBytesPerToken;
  run.output_tokens = body.value("max_tokens", options_.default_tokens);
  if (body.contains("max_tokens")) run.finish_reason = "length";
  std::istringstream blocks(Header(request, "X-Prefix-Blocks"));
  for (std::string block; std::getline(blocks, block, ',');) {
    run.prefix_blocks.push_back(std::stoull(block));
  }
  return run;
}

Answer EngineServer::StartStream(
    const HttpRequest& request, Sink sink,
    std::pair<std::string, std::uint32_t>* started) {
  const json body = json::parse(request.body());
  if (request.target() == "/engine/v1/resume") {
    *started = {body.at("request"), body.at("generation")};
    const bool known =
        options_.can_resume && model_.Resume(started->first, started->second,
                                             body.at("from_index"), sink);
    return known ? Answer{} : Answer{404, {{"known", false}}};
  }
  if (Refuses()) return {503, {{"not_run", true}}};
  Run run = MakeRun(request, body);
  *started = {run.request, run.generation};
  run.sink = std::move(sink);
  model_.Submit(std::move(run));
  CountRun(request);
  ArmStep();
  return {};
}

Answer EngineServer::Call(const HttpRequest& request) {
  const std::string target(request.target());
  if (target == "/standin/v1/runs") return {200, Counts()};
  if (target == "/engine/v1/cancel") {
    const json body = json::parse(request.body());
    model_.Cancel(body.at("request"), body.at("generation"));
    return {204, nullptr};
  }
  if (target == "/engine/v1/orders") return Order(json::parse(request.body()));
  if (Refuses()) return {503, {{"not_run", true}}};
  CountRun(request);
  return {200,
          {{"service", *options_.services.begin()},
           {"run", total_runs_},
           {"echo", request.body()}}};
}

Answer EngineServer::Order(const json& order) {
  const std::pair<std::uint64_t, std::uint64_t> fence(order.at("term"),
                                                      order.at("sequence"));
  if (options_.checks_fence && fence < fence_) {
    return {409, {{"applied", false}, {"problem", "old fence"}}};
  }
  if (order.at("action") == "load") options_.services.insert(order["subject"]);
  if (order.at("action") == "unload") options_.services.erase(order["subject"]);
  fence_ = std::max(fence_, fence);
  orders_.push_back(order);
  return {200, {{"applied", true}}};
}

json EngineServer::Counts() const {
  return {{"runs", runs_},
          {"runs_by_body", runs_by_body_},
          {"total", total_runs_},
          {"preemptions", model_.preemptions()},
          {"cancels", model_.cancels()},
          {"running", model_.running()},
          {"orders", orders_}};
}

json EngineServer::AnnounceBody() const {
  return {{"server", options_.server},
          {"incarnation", incarnation_},
          {"address", address()},
          {"services", options_.services},
          {"zone", options_.zone},
          {"memory_tokens", options_.memory_tokens},
          {"max_batch", options_.max_batch},
          {"can_resume", options_.can_resume},
          {"checks_fence", options_.checks_fence},
          {"leaving", leaving_}};
}

json EngineServer::LoadBody() const {
  return {{"running_requests", model_.running()},
          {"waiting_requests", model_.waiting()},
          {"memory_used_tokens", model_.memory_used()},
          {"preemptions", model_.preemptions()}};
}

void EngineServer::Detach(const std::string& request,
                          std::uint32_t generation) {
  model_.Detach(request, generation, std::chrono::steady_clock::now());
}

}  // namespace coltsfootfork::standin
