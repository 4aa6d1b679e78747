#pragma once

#include <chrono>
#include <cstddef>
#include <functional>

namespace coltsfootfork {

// The median time of one run of a function over several runs.
std::chrono::microseconds MedianTime(int runs,
                                     const std::function<void()>& function);

// A time in milliseconds, for tables.
double InMilliseconds(std::chrono::microseconds time);

// Bytes that the heap hands out at present.
std::size_t HeapBytes();

}  // namespace coltsfootfork
