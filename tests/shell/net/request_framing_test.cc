#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "shell/net/connection_table.h"
#include "shell/net/http_server.h"
#include "shell/net/ip_address.h"

// Which bytes of a connection belong to a request, for each way to frame one.
namespace coltsfootfork {
namespace {

using boost::asio::ip::tcp;

const std::string kInnerRequest = "POST /inner HTTP/1.1\r\nHost: h\r\n\r\n";

// What a server made of the bytes of one connection.
struct Handling {
  // The target and body of each request, with a blank between.
  std::vector<std::string> requests;
  // Everything that the client received.
  std::string responses;

  std::string Status() const { return responses.substr(9, 3); }
};

// Sends the bytes and reads until the server closes the connection. A response
// asks for it if the target is "/last".
Handling Handle(const std::string& bytes, const HttpLimits& limits = {}) {
  boost::asio::io_context io;
  Handling handling;
  HttpServer* stopping = nullptr;
  HttpServer server(
      io, ParseEndpoint("127.0.0.1:0").value(), limits,
      [&](const HttpRequest& request, const auto& exchange) {
        handling.requests.push_back(request.target + " " + request.body);
        if (request.target == "/last") stopping->Stop();
        exchange->Respond({200, "", {}, "ok"});
      });
  stopping = &server;
  tcp::socket socket(io);
  socket.connect(server.local_endpoint());
  boost::asio::write(socket, boost::asio::buffer(bytes));
  char buffer[4096];
  bool is_closed = false;
  std::function<void()> read = [&] {
    socket.async_read_some(
        boost::asio::buffer(buffer),
        [&](boost::system::error_code error, std::size_t size) {
          handling.responses.append(buffer, size);
          is_closed = static_cast<bool>(error);
          if (!error) read();
        });
  };
  read();
  while (!is_closed) {
    BOOST_REQUIRE(io.run_one_for(std::chrono::seconds(20)) > 0);
  }
  return handling;
}

std::string Post(const std::string& fields, const std::string& body,
                 const std::string& version = "1.1") {
  return "POST /last HTTP/" + version + "\r\nHost: h\r\n" + fields + "\r\n" +
         body;
}

std::string Chunk(const std::string& body) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx", body.size());
  return std::string(size) + "\r\n" + body + "\r\n";
}

// Guards against a request in the body of another one that is run, since the
// body of the outer request was taken to be empty.
BOOST_AUTO_TEST_CASE(BodyWithoutKnownEndIsNotReadAsRequests) {
  for (const char* coding :
       {"gzip", "xchunked", "chunked, identity", "chunked, chunked",
        "chunked gzip", "chunked;q=1", "\"chunked\"", "identity", ",", ""}) {
    BOOST_TEST_CONTEXT("Transfer-Encoding: " << coding) {
      for (const std::string& body :
           {kInnerRequest, Chunk(kInnerRequest) + "0\r\n\r\n"}) {
        const Handling handling = Handle(
            Post(std::string("Transfer-Encoding: ") + coding + "\r\n", body));
        BOOST_TEST(handling.requests.empty());
        BOOST_TEST(handling.Status() == "400");
        BOOST_TEST(handling.responses.find("Connection: close") !=
                   std::string::npos);
        BOOST_TEST(handling.responses.find("HTTP/1.1", 1) == std::string::npos);
      }
    }
  }
}

// Guards against requests that are rejected without a trace.
BOOST_AUTO_TEST_CASE(MalformedRequestsAreCounted) {
  boost::asio::io_context io;
  const auto connections =
      std::make_shared<ConnectionTable>(ConnectionLimits());
  HttpServer server(
      io, ParseEndpoint("127.0.0.1:0").value(), {},
      [](const HttpRequest&, const auto&) {}, connections);
  const auto count = [&] {
    return connections->MetricValues().at("http_malformed_requests_total");
  };
  std::vector<tcp::socket> sockets;
  for (std::uint64_t i = 1; i <= 3; ++i) {
    sockets.emplace_back(io).connect(server.local_endpoint());
    boost::asio::write(
        sockets.back(),
        boost::asio::buffer(Post("Transfer-Encoding: gzip\r\n", "body")));
    while (count() < i) {
      BOOST_REQUIRE(io.run_one_for(std::chrono::seconds(20)) > 0);
    }
  }
  BOOST_TEST(count() == 3U);
}

// Guards against a body that is forwarded without a coding that it has.
BOOST_AUTO_TEST_CASE(OtherTransferCodingsAreNotImplemented) {
  for (const char* fields :
       {"Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n"}) {
    const Handling handling =
        Handle(Post(fields, Chunk(kInnerRequest) + "0\r\n\r\n"));
    BOOST_TEST(handling.requests.empty());
    BOOST_TEST(handling.Status() == "501");
    BOOST_TEST(handling.responses.find("Connection: close") !=
               std::string::npos);
  }
}

// Guards against a body whose end the server and another reader of the request
// see at different places.
BOOST_AUTO_TEST_CASE(AmbiguousBodyIsRejected) {
  const std::string chunks = Chunk("body") + "0\r\n\r\n";
  for (const char* fields :
       {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: gzip\r\n",
        "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n",
        "Transfer-Encoding: identity\r\nContent-Length: 4\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 4\r\nContent-Length: 5\r\n"}) {
    BOOST_TEST_CONTEXT(fields) {
      const Handling handling = Handle(Post(fields, chunks));
      BOOST_TEST(handling.requests.empty());
      BOOST_TEST(handling.Status() == "400");
    }
  }
  // HTTP/1.0 has no transfer codings.
  const Handling handling =
      Handle(Post("Transfer-Encoding: chunked\r\n", chunks, "1.0"));
  BOOST_TEST(handling.requests.empty());
  BOOST_TEST(handling.Status() == "400");
}

BOOST_AUTO_TEST_CASE(WellFormedBodiesAreRead) {
  const std::string two_chunks = Chunk("bo") + Chunk("dy");
  for (const char* coding : {"chunked", "Chunked", "CHUNKED", " chunked ",
                             ", chunked", "chunked ,", "\tchunked"}) {
    for (const char* end : {"0\r\n\r\n", "000\r\n\r\n", "0;last\r\n\r\n",
                            "0\r\nX-Trailer: one\r\nX-More: two\r\n\r\n"}) {
      const Handling handling =
          Handle(Post(std::string("Transfer-Encoding:") + coding + "\r\n",
                      two_chunks + end));
      BOOST_TEST(
          handling.requests == std::vector<std::string>{"/last body"},
          coding << " with the end " << end << ": " << handling.responses);
    }
  }
  for (const std::string& bytes :
       {Post("Transfer-Encoding: chunked\r\n",
             "4;name=value;other=\"a b\"\r\nbody\r\n0\r\n\r\n"),
        Post("Content-Length: 4\r\n", "body"),
        Post("Content-Length: 4, 4\r\n", "body"),
        Post("Content-Length: 4\r\n", "body", "1.0")}) {
    BOOST_TEST(Handle(bytes).requests ==
               std::vector<std::string>{"/last body"});
  }
  BOOST_TEST(
      Handle(kInnerRequest + Post("Content-Length: 4\r\n", "body")).requests ==
      (std::vector<std::string>{"/inner ", "/last body"}));
}

// Lines that are no field, since the name holds what no name may.
const std::string kMalformedLines[] = {
    " X-Name: v\r\n",
    "\tX-Name: v\r\n",
    "X-Name : v\r\n",
    "X Name: v\r\n",
    std::string("X-\0Name: v\r\n", 12),
    "X\x7fName: v\r\n",
    ": v\r\n",
    " Content-Length: 40\r\n",
    "\tTransfer-Encoding: chunked\r\n",
    "Content-Length : 40\r\n",
    "Content-Length:\r\n 40\r\n",
    " \r\n",
};

// Guards against a malformed line that is joined to the field before it, or
// passed on, and against a body whose end such a line hides.
BOOST_AUTO_TEST_CASE(RequestWithMalformedFieldNameIsRejected) {
  for (const std::string& line : kMalformedLines) {
    BOOST_TEST_CONTEXT(line) {
      for (const std::string& bytes :
           {"POST /last HTTP/1.1\r\n" + line + "Host: h\r\n\r\n",
            Post(line, kInnerRequest),
            Post("Transfer-Encoding: chunked\r\n",
                 Chunk("body") + "0\r\n" + line + "\r\n"),
            Post("Transfer-Encoding: chunked\r\n",
                 Chunk("body") + "0\r\nX-Trailer: t\r\n" + line + "\r\n")}) {
        const Handling handling = Handle(bytes);
        BOOST_TEST(handling.requests.empty());
        BOOST_TEST(handling.Status() == "400");
      }
    }
  }
}

// Guards against a trailer that is taken for a part of the head, with which a
// client could replace what is known of the request already.
BOOST_AUTO_TEST_CASE(TrailerFieldsAreNotFieldsOfTheHead) {
  boost::asio::io_context io;
  std::vector<HttpField> fields;
  HttpServer server(io, ParseEndpoint("127.0.0.1:0").value(), {},
                    [&](const HttpRequest& request, const auto&) {
                      fields = request.fields;
                    });
  tcp::socket socket(io);
  socket.connect(server.local_endpoint());
  boost::asio::write(socket,
                     boost::asio::buffer(Post("Transfer-Encoding: chunked\r\n",
                                              "0\r\nX-Trailer: one\r\n\r\n")));
  while (fields.empty()) {
    BOOST_REQUIRE(io.run_one_for(std::chrono::seconds(20)) > 0);
  }
  for (const HttpField& field : fields) BOOST_TEST(field.name != "X-Trailer");
}

}  // namespace
}  // namespace coltsfootfork
