#include "shell/net/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

#include "platform/scripted_server.h"
#include "shell/net/ip_address.h"

// Which bytes from a server are a response.
namespace coltsfootfork {
namespace {

std::string Concatenate(std::initializer_list<std::string_view> parts) {
  std::string text;
  for (const std::string_view part : parts) text += part;
  return text;
}

// Fetches from a server that responds with these bytes and closes the
// connection. Returns nullopt if they are no response.
std::optional<HttpResponse> Fetch(const std::string& bytes) {
  boost::asio::io_context io;
  ScriptedServer server(io, [&](const std::string&, int) {
    return ScriptedResponse{bytes, /*close=*/true, /*reset=*/false};
  });
  std::optional<HttpFetchResult> result;
  HttpRequest request;
  request.method = "GET";
  request.target = "/";
  HttpFetch(io, ParseEndpoint(server.address()).value(), request,
            std::chrono::seconds(20),
            [&](HttpFetchResult fetched) { result = std::move(fetched); });
  while (!result) BOOST_REQUIRE(io.run_one() > 0);
  return result->response;
}

BOOST_AUTO_TEST_CASE(ResponseIsReadInEachFraming) {
  for (const char* rest :
       {"Content-Length: 4\r\n\r\nbody",
        "Transfer-Encoding: Chunked\r\n\r\n2;x=y\r\nbo\r\n2\r\ndy\r\n0\r\n"
        "X-Trailer: t\r\n\r\n",
        "\r\nbody"}) {
    const auto response =
        Fetch(std::string("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                          "X-Field: value\r\n") +
              rest);
    BOOST_REQUIRE_MESSAGE(response.has_value(), rest);
    BOOST_TEST(response->status == 200);
    BOOST_TEST(response->content_type == "text/plain");
    BOOST_TEST(response->Field("x-field") == "value");
    BOOST_TEST(response->Field("X-Trailer") == "");
    BOOST_TEST(response->body == "body");
  }
}

// Guards against a body that is taken without a coding that it has, or to the
// end of the connection although it has a length.
BOOST_AUTO_TEST_CASE(ResponseWithOtherTransferCodingsIsMalformed) {
  for (const char* fields :
       {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"}) {
    BOOST_TEST(!Fetch(std::string("HTTP/1.1 200 OK\r\n") + fields +
                      "\r\n4\r\nbody\r\n0\r\n\r\n"));
  }
  BOOST_TEST(
      !Fetch("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
             "4\r\nbody\r\n0\r\n\r\n"));
}

// Guards against bytes that are taken for a response although their status is
// none.
BOOST_AUTO_TEST_CASE(ResponseWithoutValidStatusIsMalformed) {
  for (const char* status : {"000", "099", "101", "600", "999", "20", "2000"}) {
    BOOST_TEST(!Fetch(std::string("HTTP/1.1 ") + status +
                      " X\r\nContent-Length: 2\r\n\r\nok"));
  }
}

// Guards against a malformed line that is joined to the field before it, and
// against a body whose end such a line hides.
BOOST_AUTO_TEST_CASE(ResponseWithMalformedFieldNameIsMalformed) {
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string end_of_chunks = "\r\n4\r\nbody\r\n0\r\n";
  for (const std::string line :
       {" X-Name: v\r\n", "\tX-Name: v\r\n", "X-Name : v\r\n",
        "X\x01Name: v\r\n", " Content-Length: 2\r\n"}) {
    const std::string chunks = Concatenate({status, chunked, end_of_chunks});
    for (const std::string& bytes :
         {Concatenate({status, line, "\r\nok"}),
          Concatenate({status, "X-Field: value\r\n", line, "\r\nok"}),
          Concatenate({chunks, line, "\r\n"}),
          Concatenate({chunks, "X-Trailer: t\r\n", line, "\r\n"}),
          Concatenate({"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n", line,
                       "\r\n", status, "\r\nok"})}) {
      BOOST_TEST(!Fetch(bytes), bytes);
    }
  }
}

// Guards against an interim response that is taken for the final one.
BOOST_AUTO_TEST_CASE(InterimResponsesAreSkipped) {
  const std::string interim =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: "
      "<x>\r\n\r\n";
  const auto response =
      Fetch(interim + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->status == 200);
  BOOST_TEST(response->body == "ok");
  BOOST_TEST(!Fetch(interim));
}

}  // namespace
}  // namespace coltsfootfork
