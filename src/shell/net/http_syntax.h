#pragma once

#include <string_view>

// Rules of HTTP/1.1 framing and field syntax (RFC 9110 and RFC 9112) that the
// parser of Boost.Beast does not check. MessageParser applies them to all
// messages that a process reads.
namespace coltsfootfork {

// What the Transfer-Encoding fields of a message say of its body.
enum class TransferCoding {
  // The body is chunked and not encoded otherwise.
  kChunked = 0,
  // The end of the body is known, as chunked is its last coding, but it has
  // other codings too.
  kUnsupported,
  // The end of the body cannot be determined.
  kUndelimited,
};

// Reads the values of all Transfer-Encoding fields of a message, joined by
// commas. Codings are compared without regard to case; empty list elements are
// ignored.
TransferCoding ReadTransferCoding(std::string_view value);

// Returns whether the value of a field is on the line of its name. Both must be
// what the parser passes to its on_field_impl, for bytes that end with the
// field's line. The parser joins a line that begins with a blank to the field
// before it (RFC 9112, section 5.2), which would hide a field from this process
// that its sender or another reader sees.
bool IsOnOneLine(std::string_view name, std::string_view value);

// Returns whether the status may be that of a response to a request of this
// process: 100 to 599, without 101, since no request asks for another protocol.
bool IsResponseStatus(int status);

// Returns whether another response to the same request follows this one.
bool IsInterimStatus(int status);

}  // namespace coltsfootfork
