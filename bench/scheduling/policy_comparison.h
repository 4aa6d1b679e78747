#pragma once

#include <string_view>

namespace coltsfootfork {

// Runs each scenario with the baseline policies and the real ones, over the
// same seeds, and prints a table of each. Only scenarios whose names contain
// the text are run.
void ComparePolicies(std::string_view only);

}  // namespace coltsfootfork
