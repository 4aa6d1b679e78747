#pragma once

namespace coltsfootfork {

// Prints bytes and times of documents, deltas and changes at several sizes.
void PrintConfigurationCost();

}  // namespace coltsfootfork
