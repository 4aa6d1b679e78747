#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// A hash of a part of a prompt and of the service whose engines it concerns.
using PartKey = std::uint64_t;
PartKey PartKeyOf(const ServiceId& service, const std::string& part);

// A hash of a server's incarnation, which crashes once. Never zero.
using CrashKey = std::uint64_t;
CrashKey CrashKeyOf(const ServerId& server, std::uint64_t incarnation);

// Triples of a part, a crash or zero for a survival, and the age in
// milliseconds.
using EncodedCrashes = std::vector<std::uint64_t>;

// What the processes of a fleet know about parts of prompts on which engines
// crashed. Bounded in size, and each part is forgotten some time after its last
// crash.
class CrashLedger {
 public:
  struct History {
    // The engines that crashed since the last survival, and when: the first and
    // the newest ones.
    std::map<CrashKey, Time> crashes;
    // When an engine last wrote a response on the part without a crash.
    std::optional<Time> survived_at;
    // Revision of the ledger in which this history last changed.
    std::uint64_t revision = 0;
  };

  // Records that an engine crashed as it began a response on the part.
  void AddCrash(PartKey part, CrashKey crash, Time at, Time now);
  // Records that an engine wrote a response on the part. Ignored for parts
  // without crashes.
  void AddSurvival(PartKey part, Time at);

  // Adds what another ledger has encoded. Malformed input is ignored.
  void Merge(const EncodedCrashes& numbers, Time now);
  // Encodes the parts that have changed since the revision.
  EncodedCrashes Encode(std::uint64_t since_revision, Time now) const;
  // Forgets the parts without recent crashes.
  void Expire(Time now);

  // Returns null for a part without crashes.
  const History* Find(PartKey part) const;
  const std::map<PartKey, History>& parts() const { return parts_; }
  // Changes whenever something is added.
  std::uint64_t revision() const { return revision_; }

 private:
  void EvictLeastSuspect();

  std::map<PartKey, History> parts_;
  std::uint64_t revision_ = 0;
};

// Returns the time of the part's last crash, or the epoch if it has none.
Time LastCrash(const CrashLedger::History& history);

}  // namespace coltsfootfork
