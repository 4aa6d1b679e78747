#pragma once

// The parts of the routing benchmark. Each prints a Markdown table.
namespace coltsfootfork::bench {

// Time of one choice over the number of servers, by policy.
void PrintChoiceCost();

// Time in the entry's core for a request, a token and an end, by the number
// of open streams.
void PrintRequestCost();

// Memory of one open request, one server row and one cache hint.
void PrintMemoryUse();

// Queue delay and prefix reuse by policy in a virtual-time queue model.
void PrintChoiceQuality();

}  // namespace coltsfootfork::bench
