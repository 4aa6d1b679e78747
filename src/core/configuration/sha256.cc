#include "coltsfootfork/core/configuration/sha256.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <array>

namespace coltsfootfork {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

}  // namespace

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  std::string hex;
  hex.reserve(static_cast<std::size_t>(size) * 2);
  for (unsigned int i = 0; i < size; ++i) {
    hex += kHexDigits.at(digest.at(i) >> 4U);
    hex += kHexDigits.at(digest.at(i) & 0xFU);
  }
  return hex;
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace coltsfootfork
