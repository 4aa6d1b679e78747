#pragma once

#include <string>

#include "coltsfootfork/core/types/ids.h"
#include "wire/envelope.h"

namespace coltsfootfork {

// Random text of 128 bits in hexadecimal digits, from the system's generator.
std::string MakeNonce();

enum class LinkSide { kAccepting, kConnecting };

// Shows each side of a link that the other knows the fleet key. The proof
// covers both nonces, the side and the process, so that it is of no use on
// another link or in the other direction.
class FleetHandshake {
 public:
  FleetHandshake(LinkSide side, ProcessId self, std::string fleet_key,
                 std::string nonce);

  LinkHello Hello() const;
  // Takes the peer's hello and makes the proof for it.
  LinkProof Prove(const LinkHello& peer);
  // Whether the peer's proof fits its hello. False before Prove.
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
