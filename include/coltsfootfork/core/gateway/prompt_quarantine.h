#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "coltsfootfork/core/fleet/crash_ledger.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Decides which calls are refused since a part of their prompt crashes engines.
// Such a part has crashed each engine that began a response on it. A sound part
// has responses that were written, or its crashes are explained by a part that
// was in the same calls and in more of them. Parts that were in exactly the
// same crashes cannot be told apart: a call is refused if it has all of them,
// and a call with some of them shows which.
class PromptQuarantine {
 public:
  // An engine crashed as it began a response on the parts.
  void OnCrash(const std::vector<PartKey>& parts, CrashKey crash, Time now);
  // An engine wrote a response on the parts.
  void OnSurvival(const std::vector<PartKey>& parts, Time now);

  struct Verdict {
    // Indexes of the parts that are to blame, in the list that was asked for.
    std::vector<std::size_t> parts;
    // Crashes of engines that are known of them.
    std::size_t crashes = 0;
    // How long calls with these parts are refused.
    Duration remaining{0};
  };
  // Returns nullopt if a call with these parts is not refused.
  std::optional<Verdict> FindQuarantined(const std::vector<PartKey>& parts,
                                         Time now) const;
  // Returns whether engines have crashed on one of the parts and none has
  // written a response on it: a call that broke off is then not sent again.
  bool IsSuspect(const std::vector<PartKey>& parts, Time now) const;
  // Returns the number of parts that may crash engines.
  std::size_t Size(Time now) const;

  // Adds what the other processes of the fleet know.
  void Merge(const EncodedCrashes& crashes, Time now);
  const CrashLedger& ledger() const { return ledger_; }

 private:
  // Returns the end of the quarantine that the part's crashes demand, or
  // nullopt if they are too few or too old.
  static std::optional<Time> EndOf(const CrashLedger::History& history,
                                   Time now);
  // Returns whether the call's part is to blame, alone or together with other
  // parts that the call has too.
  bool IsBlamed(PartKey part, const CrashLedger::History& history,
                const std::vector<PartKey>& parts, Time now) const;
  std::optional<Time> FindSurvival(PartKey part) const;

  CrashLedger ledger_;
  // When this entry last saw a response on a part. When the newer map is full,
  // it replaces the older one.
  std::unordered_map<PartKey, Time> survivals_;
  std::unordered_map<PartKey, Time> older_survivals_;
};

}  // namespace coltsfootfork
