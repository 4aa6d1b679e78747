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

// The state of one entry, shared by the functions that handle its inputs.
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
  // One budget per rank, so that mass failures of one rank do not use up the
  // retries of the other.
  std::array<RetryBudget, kRankCount> budgets;
  WorkspaceShares shares;
  RequestTable requests;
  bool stopping = false;
  // Effects of the input being processed.
  std::vector<EntryEffect> effects;
};

}  // namespace coltsfootfork
