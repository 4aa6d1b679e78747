#include "shell/net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <stdexcept>
#include <string>

#include "shell/net/connection_table.h"
#include "shell/net/http_client.h"
#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

using boost::asio::ip::tcp;

tcp::endpoint AnyPort() { return ParseEndpoint("127.0.0.1:0").value(); }

// Returns everything received until the server closes the connection.
std::string ReadToEnd(boost::asio::io_context& io, tcp::socket& socket) {
  std::string response;
  char buffer[4096];
  bool connection_closed = false;
  std::function<void()> read = [&] {
    socket.async_read_some(boost::asio::buffer(buffer),
                           [&](boost::system::error_code error, size_t size) {
                             response.append(buffer, size);
                             connection_closed = static_cast<bool>(error);
                             if (!error) read();
                           });
  };
  read();
  while (!connection_closed && io.run_one() > 0) {
  }
  return response;
}

// Sends raw bytes and returns everything received until the server closes the
// connection.
std::string Exchange(boost::asio::io_context& io, const tcp::endpoint& server,
                     const std::string& bytes) {
  tcp::socket socket(io);
  socket.connect(server);
  boost::asio::write(socket, boost::asio::buffer(bytes));
  return ReadToEnd(io, socket);
}

BOOST_AUTO_TEST_CASE(RequestAndResponseAreTransferredCompletely) {
  boost::asio::io_context io;
  HttpServer server(
      io, AnyPort(), {}, [](const HttpRequest& request, const auto& exchange) {
        exchange->Respond({201,
                           "text/plain",
                           {},
                           request.method + request.target + request.body});
      });
  HttpRequest request;
  request.method = "PUT";
  request.target = "/path?query";
  request.body = std::string(100000, 'x');
  HttpFetchResult result;
  HttpFetch(io, server.local_endpoint(), request, std::chrono::seconds(10),
            [&](HttpFetchResult received) {
              result = std::move(received);
              server.Stop();
            });
  io.run();
  BOOST_REQUIRE(result.response.has_value());
  BOOST_TEST(result.response->status == 201);
  BOOST_TEST(result.response->body == "PUT/path?query" + request.body);
}

BOOST_AUTO_TEST_CASE(OversizedAndMalformedRequestsAreRejected) {
  boost::asio::io_context io;
  HttpLimits limits;
  limits.header_bytes = 1024;
  limits.body_bytes = 1024;
  int handled = 0;
  HttpServer server(io, AnyPort(), limits,
                    [&](const HttpRequest&, const auto&) { ++handled; });
  const auto status = [&](const std::string& bytes) {
    return Exchange(io, server.local_endpoint(), bytes).substr(9, 3);
  };
  BOOST_TEST(status("POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n") ==
             "413");
  BOOST_TEST(status("GET / HTTP/1.1\r\nX: " + std::string(3000, 'y') +
                    "\r\n\r\n") == "431");
  BOOST_TEST(status("no HTTP at all\r\n\r\n") == "400");
  BOOST_TEST(handled == 0);
}

// Guards against a request that ends the process.
BOOST_AUTO_TEST_CASE(ExceptionOfTheHandlerEndsItsConnectionOnly) {
  boost::asio::io_context io;
  bool disconnected = false;
  HttpServer server(
      io, AnyPort(), {}, [&](const HttpRequest& request, const auto& exchange) {
        if (request.target == "/throw") {
          exchange->OnCallerDisconnected([&] { disconnected = true; });
          throw std::length_error("too long");
        }
        exchange->Respond({200, "", {}, "ok"});
      });
  BOOST_TEST(
      Exchange(io, server.local_endpoint(), "GET /throw HTTP/1.1\r\n\r\n")
          .empty());
  BOOST_TEST(disconnected);
  BOOST_TEST(Exchange(io, server.local_endpoint(),
                      "GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
                 .find("HTTP/1.1 200") == 0U);
}

BOOST_AUTO_TEST_CASE(CallerDisconnectIsReported) {
  boost::asio::io_context io;
  bool disconnected = false;
  std::shared_ptr<HttpExchange> kept_exchange;
  HttpServer server(
      io, AnyPort(), {},
      [&](const HttpRequest&, std::shared_ptr<HttpExchange> exchange) {
        kept_exchange = std::move(exchange);
        kept_exchange->OnCallerDisconnected([&] { disconnected = true; });
      });
  tcp::socket socket(io);
  socket.connect(server.local_endpoint());
  boost::asio::write(
      socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  while (!kept_exchange && io.run_one() > 0) {
  }
  socket.close();
  while (!disconnected && io.run_one() > 0) {
  }
  BOOST_TEST(disconnected);
}

// Guards against a missed disconnect when unread bytes of a pipelined request
// are in the socket: the work for the disconnected caller would not stop.
BOOST_AUTO_TEST_CASE(DisconnectAfterPipelinedRequestIsReported) {
  boost::asio::io_context io;
  std::shared_ptr<HttpExchange> open_exchange;
  bool disconnected = false;
  HttpServer server(
      io, AnyPort(), {}, [&](const HttpRequest&, const auto& exchange) {
        open_exchange = exchange;
        exchange->OnCallerDisconnected([&] { disconnected = true; });
      });
  auto socket = std::make_unique<tcp::socket>(io);
  socket->connect(server.local_endpoint());
  const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  boost::asio::write(*socket, boost::asio::buffer(request));
  while (!open_exchange) BOOST_REQUIRE(io.run_one() > 0);
  boost::asio::write(*socket, boost::asio::buffer(request));
  // Lets the session read the pipelined request before the connection closes.
  io.run_for(std::chrono::milliseconds(20));
  BOOST_TEST(!disconnected);
  socket = nullptr;
  while (!disconnected) {
    BOOST_REQUIRE(io.run_one_for(std::chrono::seconds(20)) > 0);
  }
  server.Stop();
}

// Guards against requests that a stopping server drops although a part of them,
// or all of them, has arrived.
BOOST_AUTO_TEST_CASE(StoppingServerAnswersRequestsThatHaveBegunToArrive) {
  boost::asio::io_context io;
  HttpServer server(io, AnyPort(), {},
                    [](const HttpRequest& request, const auto& exchange) {
                      exchange->Respond({200, "", {}, request.body});
                    });
  const auto connect = [&] {
    tcp::socket socket(io);
    socket.connect(server.local_endpoint());
    return socket;
  };
  tcp::socket idle = connect();
  tcp::socket partial = connect();
  tcp::socket whole = connect();
  while (server.open_connections() < 3) BOOST_REQUIRE(io.run_one() > 0);
  const std::string head = "POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\n";
  boost::asio::write(partial, boost::asio::buffer(head + "bo"));
  // Lets the session read the first part.
  io.run_for(std::chrono::milliseconds(20));
  boost::asio::write(whole, boost::asio::buffer(head + "body"));
  server.Stop();
  boost::asio::write(partial, boost::asio::buffer(std::string("dy")));
  for (tcp::socket* socket : {&partial, &whole}) {
    const std::string response = ReadToEnd(io, *socket);
    BOOST_TEST(response.find("HTTP/1.1 200") == 0U);
    BOOST_TEST(response.find("Connection: close") != std::string::npos);
    BOOST_TEST(response.find("body") != std::string::npos);
  }
  BOOST_TEST(ReadToEnd(io, idle).empty());
  BOOST_TEST(server.open_connections() == 0U);
}

BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInOrder) {
  boost::asio::io_context io;
  std::shared_ptr<HttpExchange> first_exchange;
  HttpServer server(io, AnyPort(), {},
                    [&](const HttpRequest& request, const auto& exchange) {
                      if (request.target == "/a") {
                        first_exchange = exchange;
                        return;
                      }
                      exchange->Respond({200, "", {}, "second"});
                    });
  tcp::socket socket(io);
  socket.connect(server.local_endpoint());
  const std::string text =
      "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
      "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(text));
  while (!first_exchange) BOOST_REQUIRE(io.run_one() > 0);
  io.run_for(std::chrono::milliseconds(20));
  first_exchange->Respond({200, "", {}, "first"});
  std::string responses;
  while (responses.find("second") == std::string::npos) {
    io.run_one_for(std::chrono::milliseconds(5));
    std::string bytes(socket.available(), ' ');
    boost::asio::read(socket, boost::asio::buffer(bytes));
    responses += bytes;
  }
  BOOST_TEST(responses.find("first") < responses.find("second"));
  first_exchange = nullptr;
  server.Stop();
}

// Guards against complete responses that use memory without being counted while
// clients do not read them.
BOOST_AUTO_TEST_CASE(UnreadResponseCountsUntilItIsReadOrClosed) {
  // More than the sockets buffer.
  constexpr std::size_t kBodyBytes = 32U << 20U;
  for (const bool reads : {true, false}) {
    boost::asio::io_context io;
    const auto connections =
        std::make_shared<ConnectionTable>(ConnectionLimits());
    const HeldBytesBudget& held = *connections->held_bytes();
    HttpServer server(
        io, AnyPort(), {},
        [](const HttpRequest&, const auto& exchange) {
          exchange->Respond(
              {200, "text/plain", {}, std::string(kBodyBytes, 'x')});
        },
        connections);
    tcp::socket socket(io);
    socket.connect(server.local_endpoint());
    boost::asio::write(
        socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n"
                                                "Connection: close\r\n\r\n")));
    while (held.total() == 0 && io.run_one() > 0) {
    }
    BOOST_TEST(held.bytes(HeldBytesPurpose::kDelivery) > kBodyBytes);
    if (reads) {
      BOOST_TEST(ReadToEnd(io, socket).size() > kBodyBytes);
    } else {
      socket.close();
    }
    while (held.total() > 0 && io.run_one() > 0) {
    }
    BOOST_TEST(held.total() == 0U);
  }
}

}  // namespace
}  // namespace coltsfootfork
