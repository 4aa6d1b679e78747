#pragma once

namespace coltsfootfork {

// Prints times and bytes of claims at several table sizes.
void PrintClaimCost();

}  // namespace coltsfootfork
