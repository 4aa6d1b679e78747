#pragma once

#include <string>
#include <string_view>

namespace coltsfootfork {

// Returns the SHA-256 digest of the bytes as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view bytes);

// Compares two texts in time that doesn't depend on their contents, to prevent
// timing attacks. The timing may reveal whether their lengths are equal.
bool EqualInConstantTime(std::string_view a, std::string_view b);

}  // namespace coltsfootfork
