#include "adapters/adapter_fixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>

#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

// Ends a test that hangs.
constexpr std::chrono::seconds kHangTimeout{30};

HttpEngineAdapterOptions SmallLimits() {
  HttpEngineAdapterOptions options;
  options.max_port_body_bytes = 4096;
  options.max_response_bytes = 4096;
  options.max_event_bytes = 1024;
  return options;
}

}  // namespace

AdapterFixture::AdapterFixture()
    : adapter(
          io, SmallLimits(),
          [this](EngineToAgent message) {
            messages.push_back(std::move(message));
          },
          [this](const Finding& finding) { findings.push_back(finding); }) {}

void AdapterFixture::RunUntil(const std::function<bool()>& condition) {
  while (!condition()) {
    BOOST_REQUIRE(io.run_one_for(kHangTimeout) == 1);
  }
}

std::string AdapterFixture::CallPort(const std::string& bytes) {
  namespace asio = boost::asio;
  asio::ip::tcp::socket socket(io);
  socket.connect(*ParseEndpoint(adapter.listen_address()));
  asio::write(socket, asio::buffer(bytes));
  std::string response;
  bool connection_closed = false;
  asio::async_read(socket, asio::dynamic_buffer(response),
                   [&](auto, std::size_t) { connection_closed = true; });
  RunUntil([&] { return connection_closed; });
  return response;
}

void AdapterFixture::Announce(const std::string& address,
                              std::uint64_t incarnation) {
  const std::string body =
      R"({"server":"e1","incarnation":)" + std::to_string(incarnation) +
      R"(,"address":")" + address +
      R"(","services":["m1"],"memory_tokens":1000,"max_batch":8,)"
      R"("can_resume":true,"checks_fence":false,"leaving":false})";
  CallPort("POST /engine/v1/announce HTTP/1.1\r\nConnection: close\r\n" +
           ("Content-Length: " + std::to_string(body.size())) + "\r\n\r\n" +
           body);
}

void AdapterFixture::Submit(const std::string& request,
                            const std::string& prompt,
                            std::uint32_t first_index) {
  Dispatch dispatch;
  dispatch.request = RequestId(request);
  dispatch.kind = kind;
  dispatch.method = "POST";
  dispatch.target = "/v1/completions";
  dispatch.content_type = "application/json";
  dispatch.body = R"({"max_tokens":6,"prompt":")" + prompt + R"("})";
  dispatch.first_index = first_index;
  adapter.Send(EngineSubmit{dispatch});
}

std::string AdapterFixture::Tokens(const std::string& request) const {
  std::string texts;
  for (const auto& token : Received<EngineToken>()) {
    if (token.request.value() == request) texts += token.text + ";";
  }
  return texts;
}

std::string AdapterFixture::OutcomeOf(const std::string& request) const {
  std::string outcome;
  const auto add = [&](const auto& final_messages, const auto& name_of) {
    for (const auto& one : final_messages) {
      if (one.request.value() == request) outcome += name_of(one);
    }
  };
  add(Received<EngineCompleted>(), [](auto&) { return "completed"; });
  add(Received<EngineRefused>(), [](auto&) { return "refused"; });
  add(Received<EngineInterrupted>(), [](auto& interrupted) {
    return interrupted.never_sent ? "never sent" : "interrupted";
  });
  return outcome;
}

}  // namespace coltsfootfork
