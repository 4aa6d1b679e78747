#pragma once

#include <string>

#include "coltsfootfork/core/configuration/configuration.h"

namespace coltsfootfork {

// What the rules say of one request.
struct RequestRules {
  bool known_service = false;
  Rank rank = Rank::kDeferrable;
  bool non_idempotent = false;
  RankTarget target;
  WorkspaceLimits limits;
};

// What a rule can look at.
struct RuleSubject {
  const WorkspaceId& workspace;
  const ServiceId& service;
  const std::string& method;
  const std::string& target;
};

// Looks up what the configuration in force says of a request.
RequestRules LookUpRules(const Configuration& configuration,
                         const RuleSubject& subject);

}  // namespace coltsfootfork
