#pragma once

#include <array>
#include <optional>
#include <utility>
#include <vector>

#include "coltsfootfork/core/configuration/serving_rules.h"
#include "coltsfootfork/core/messages/entry_io.h"
#include "coltsfootfork/core/routing/entry_options.h"
#include "core/routing/prefix_hints.h"
#include "core/routing/request_table.h"
#include "core/routing/retry_budget.h"
#include "core/routing/server_chooser.h"
#include "core/routing/server_table.h"
#include "core/routing/workspace_shares.h"

namespace coltsfootfork {

// The tables of one entry, which its systems run over.
struct EntryState {
  EntryState(EntryOptions given, std::uint64_t seed)
      : options(std::move(given)),
        servers(options.choice),
        hints(options.choice.hint_blocks_per_server),
        chooser(options.choice, seed),
        budgets{RetryBudget(options.retry), RetryBudget(options.retry)},
        shares(options.default_share) {}

  EntryOptions options;
  // Empty until a configuration is in force.
  std::optional<ServingRules> rules;
  ServerTable servers;
  PrefixHints hints;
  ServerChooser chooser;
  // For each rank, so that a failing flood of one leaves the other its own.
  std::array<RetryBudget, kRankCount> budgets;
  WorkspaceShares shares;
  RequestTable requests;
  bool stopping = false;
  // What follows from the input in hand.
  std::vector<EntryEffect> effects;
};

}  // namespace coltsfootfork
