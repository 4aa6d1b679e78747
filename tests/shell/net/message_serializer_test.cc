#include "shell/net/message_serializer.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace coltsfootfork {
namespace {

BOOST_AUTO_TEST_CASE(RequestIsWrittenWithItsLength) {
  HttpRequest request;
  request.method = "PUT";
  request.target = "/a?b=c";
  request.body = "body";
  BOOST_TEST(SerializeRequest(request, {{"Host", "h"}, {"X", ""}}) ==
             "PUT /a?b=c HTTP/1.1\r\nHost: h\r\nX: \r\nContent-Length: "
             "4\r\n\r\nbody");
  request.method = "GET";
  request.body = {};
  BOOST_TEST(SerializeRequest(request, {}) == "GET /a?b=c HTTP/1.1\r\n\r\n");
  request.method = "POST";
  BOOST_TEST(SerializeRequest(request, {}) ==
             "POST /a?b=c HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(ResponseIsWrittenWithItsLength) {
  BOOST_TEST(
      SerializeResponse({404, "text/plain", {{"X", "y"}}, "no"}, false) ==
      "HTTP/1.1 404 Not Found\r\nContent-Type: text/plain\r\nX: "
      "y\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno");
  BOOST_TEST(SerializeResponse({200, "", {}, ""}, true) ==
             "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  BOOST_TEST(SerializeChunkedHead({200, "", {}, ""}, true) ==
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
}

// Guards against bytes that the caller would take for the next response.
BOOST_AUTO_TEST_CASE(ResponseWithoutContentHasNoBody) {
  for (const int status : {204, 304}) {
    const std::string text = SerializeResponse({status, "", {}, "body"}, true);
    BOOST_TEST(text.find("Content-Length") == std::string::npos);
    BOOST_TEST(text.substr(text.size() - 4) == "\r\n\r\n");
  }
}

// Guards against a value that adds fields, or a second message.
BOOST_AUTO_TEST_CASE(ValueDoesNotEndItsField) {
  HttpRequest request;
  request.method = "GET";
  request.target = "/";
  const std::string value("a\r\nB: c\0d\x7f\xc3\xa9\te", 14);
  BOOST_TEST(SerializeRequest(request, {{"A", value}}) ==
             "GET / HTTP/1.1\r\nA: a  B: c d \xc3\xa9\te\r\n\r\n");
}

}  // namespace
}  // namespace coltsfootfork
