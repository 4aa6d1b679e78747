#include "shell/net/fleet_handshake.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cstddef>
#include <stdexcept>
#include <utility>

namespace coltsfootfork {
namespace {

constexpr std::size_t kNonceBytes = 16;

std::string ToHex(const unsigned char* bytes, std::size_t size) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (std::size_t i = 0; i < size; ++i) {
    text += kDigits[bytes[i] >> 4U];
    text += kDigits[bytes[i] & 0xfU];
  }
  return text;
}

}  // namespace

std::string MakeNonce() {
  std::array<unsigned char, kNonceBytes> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    throw std::runtime_error("the system random number generator failed");
  }
  return ToHex(bytes.data(), bytes.size());
}

FleetHandshake::FleetHandshake(LinkSide side, ProcessId self,
                               std::string fleet_key, std::string nonce)
    : side_(side),
      self_{std::move(self), std::move(nonce)},
      fleet_key_(std::move(fleet_key)) {}

LinkHello FleetHandshake::Hello() const { return self_; }

LinkProof FleetHandshake::Prove(const LinkHello& peer) {
  peer_ = peer;
  return {Mac(side_, self_, peer_.nonce)};
}

bool FleetHandshake::Verify(const LinkProof& proof) const {
  if (peer_.nonce.empty()) return false;
  const LinkSide other = side_ == LinkSide::kAccepting ? LinkSide::kConnecting
                                                       : LinkSide::kAccepting;
  const std::string expected = Mac(other, peer_, self_.nonce);
  return proof.mac.size() == expected.size() &&
         CRYPTO_memcmp(proof.mac.data(), expected.data(), expected.size()) == 0;
}

std::string FleetHandshake::Mac(LinkSide prover, const LinkHello& own,
                                const std::string& other_nonce) const {
  const std::string text =
      std::string(prover == LinkSide::kAccepting ? "accepting" : "connecting") +
      '\n' + own.nonce + '\n' + other_nonce + '\n' + own.process.value();
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), fleet_key_.data(), static_cast<int>(fleet_key_.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       mac.data(), &size);
  return ToHex(mac.data(), size);
}

}  // namespace coltsfootfork
