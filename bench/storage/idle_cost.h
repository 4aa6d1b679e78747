#pragma once

#include <cstddef>

namespace coltsfootfork {

// What the busiest member of a quiet group sends and receives.
struct IdleCost {
  double messages_per_second = 0;
  double bytes_per_second = 0;
};

// Lets a group of so many voters be quiet, and counts the encoded messages of
// its leader, both ways. Headers below the messages are not in the figure.
IdleCost MeasureIdleCost(std::size_t voters);

}  // namespace coltsfootfork
