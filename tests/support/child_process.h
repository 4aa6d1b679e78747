#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace coltsfootfork {

// A program that a test runs. It is killed when the test ends without having
// waited for it.
class ChildProcess {
 public:
  // Starts the program with its standard error in the given file.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& log_file);
  ~ChildProcess();

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // The next line of standard output; empty at its end.
  std::string ReadLine();
  void Signal(int signal) const;
  // Waits for the end and returns the exit code, or minus the signal's number.
  int Wait();
  // The number after "NAME:" in the system's status page of the process.
  std::int64_t StatusNumber(const std::string& name) const;
  // Processor time so far, in the system's clock ticks.
  double ProcessorTicks() const;
  bool running() const { return pid_ > 0; }
  // Whether the process has not ended, by itself or by a signal.
  bool IsAlive() const;
  // Number of open file descriptors.
  std::size_t CountDescriptors() const;

 private:
  pid_t pid_ = -1;
  int output_ = -1;
};

}  // namespace coltsfootfork
