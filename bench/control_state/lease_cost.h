#pragma once

namespace coltsfootfork {

// Prints times and bytes of lease renewals and directories.
void PrintLeaseCost();

}  // namespace coltsfootfork
