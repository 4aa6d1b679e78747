#pragma once

// Measures real processes on loopback. Each prints a table of its own.
namespace coltsfootfork {

// Tokens a second and time between tokens, through entry and agent and
// straight to the stand-in, in one run; memory per open stream.
void MeasureStreams();

// Processor time and bytes a second of processes that do nothing, and how
// long a change takes until it is in force everywhere, at several sizes.
void MeasureIdleAndChanges();

}  // namespace coltsfootfork
