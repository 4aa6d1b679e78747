#pragma once

#include <string>
#include <string_view>

namespace coltsfootfork {

// The SHA-256 of the bytes as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view bytes);

// Whether two texts are equal, in a time that does not depend on where they
// differ. Their lengths are not kept secret.
bool EqualInConstantTime(std::string_view a, std::string_view b);

}  // namespace coltsfootfork
