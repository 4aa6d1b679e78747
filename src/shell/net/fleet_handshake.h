#pragma once

#include <string>

#include "coltsfootfork/core/types/ids.h"
#include "wire/envelope.h"

namespace coltsfootfork {

// Returns 128 random bits as hexadecimal digits. Throws std::runtime_error if
// the system random number generator fails.
std::string MakeNonce();

enum class LinkSide { kAccepting, kConnecting };

// Mutual authentication of a link: each side proves that it knows the fleet
// key. A proof covers both nonces, the side and the process, so that it cannot
// be replayed on another link or in the other direction.
class FleetHandshake {
 public:
  FleetHandshake(LinkSide side, ProcessId self, std::string fleet_key,
                 std::string nonce);

  LinkHello Hello() const;
  // Stores the peer's hello and returns this side's proof for it.
  LinkProof Prove(const LinkHello& peer);
  // Returns true if the peer's proof matches its hello. Returns false before
  // Prove() has been called.
  bool Verify(const LinkProof& proof) const;
  const ProcessId& peer() const { return peer_.process; }

 private:
  std::string Mac(LinkSide prover, const LinkHello& own,
                  const std::string& other_nonce) const;

  LinkSide side_;
  LinkHello self_;
  std::string fleet_key_;
  LinkHello peer_;
};

}  // namespace coltsfootfork
