#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>

#include "shell/net/http_client.h"
#include "shell/net/http_server.h"
#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

constexpr std::size_t kHeaderBytes = 256U << 10U;

struct Echo {
  Echo() : server(io, ParseEndpoint("127.0.0.1:0").value(), Limits(), Handle) {}

  static HttpLimits Limits() {
    HttpLimits limits;
    limits.header_bytes = kHeaderBytes;
    return limits;
  }

  // Responds with the sizes of the field's name and value, in a stream if the
  // target says so.
  static void Handle(const HttpRequest& request,
                     const std::shared_ptr<HttpExchange>& exchange) {
    std::string sizes;
    for (const HttpField& field : request.fields) {
      if (field.name[0] != 'X') continue;
      sizes += std::to_string(field.name.size()) + " " +
               std::to_string(field.value.size());
    }
    if (request.target != "/stream") {
      return exchange->Respond({200, "", {}, sizes});
    }
    exchange->StartStream({200, "", {}, {}});
    exchange->WriteChunk(sizes);
    exchange->FinishStream();
  }

  std::optional<HttpResponse> Fetch(const std::string& target,
                                    const HttpField& field) {
    HttpRequest request;
    request.method = "GET";
    request.target = target;
    request.fields = {field};
    std::optional<HttpFetchResult> result;
    HttpFetch(io, server.local_endpoint(), request, std::chrono::seconds(20),
              [&](HttpFetchResult fetched) { result = std::move(fetched); });
    while (!result) BOOST_REQUIRE(io.run_one() > 0);
    return result->response;
  }

  boost::asio::io_context io;
  HttpServer server;
};

// Guards against a field below the limit of the head that ends the process.
BOOST_AUTO_TEST_CASE(FieldsOfAnySizeBelowTheLimitAreRead) {
  Echo echo;
  for (const std::size_t size :
       {65'531U, 65'532U, 65'533U, 65'534U, 65'535U, 65'536U, 200'000U}) {
    for (const char* target : {"/", "/stream"}) {
      auto response = echo.Fetch(target, {"X", std::string(size, 'v')});
      BOOST_REQUIRE(response.has_value());
      BOOST_TEST(response->status == 200);
      BOOST_TEST(response->body == "1 " + std::to_string(size));
      response = echo.Fetch(target, {std::string(size, 'X'), "v"});
      BOOST_REQUIRE(response.has_value());
      BOOST_TEST(response->body == std::to_string(size) + " 1");
    }
  }
}

BOOST_AUTO_TEST_CASE(FieldAboveTheLimitIsRejected) {
  Echo echo;
  const auto response = echo.Fetch("/", {"X", std::string(kHeaderBytes, 'v')});
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->status == 431);
  BOOST_TEST(echo.Fetch("/", {"X", "v"})->status == 200);
}

// Guards against a response that ends the process since it repeats a long part
// of its request.
BOOST_AUTO_TEST_CASE(LongFieldsOfAResponseAreWritten) {
  for (const bool is_stream : {false, true}) {
    boost::asio::io_context io;
    const std::string value(100'000, 'v');
    HttpServer server(
        io, ParseEndpoint("127.0.0.1:0").value(), {},
        [&](const HttpRequest&, const auto& exchange) {
          const HttpResponse response{200, "", {{"X", value}}, {}};
          if (!is_stream) return exchange->Respond(response);
          exchange->StartStream(response);
          exchange->FinishStream();
        });
    boost::asio::ip::tcp::socket socket(io);
    socket.connect(server.local_endpoint());
    boost::asio::write(socket,
                       boost::asio::buffer(std::string(
                           "GET / HTTP/1.1\r\nConnection: close\r\n\r\n")));
    std::string received;
    boost::system::error_code error;
    while (!error) {
      char buffer[4096];
      io.run_for(std::chrono::milliseconds(1));
      if (socket.available() == 0) continue;
      const std::size_t size =
          socket.read_some(boost::asio::buffer(buffer), error);
      received.append(buffer, size);
      if (received.find("\r\n\r\n") != std::string::npos) break;
    }
    BOOST_TEST(received.find("\r\nX: " + value + "\r\n") != std::string::npos);
  }
}

}  // namespace
}  // namespace coltsfootfork
