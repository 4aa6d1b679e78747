#include "support/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace coltsfootfork {

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments,
                           const std::string& log_file) {
  std::vector<char*> words = {const_cast<char*>(program.c_str())};
  for (const std::string& argument : arguments) {
    words.push_back(const_cast<char*>(argument.c_str()));
  }
  words.push_back(nullptr);
  int ends[2];
  if (pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
  constexpr mode_t kLogMode = 0644;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  // A test's connections must end with the test's own end of them: a process
  // that inherits them would hold them open.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error = posix_spawn(&pid_, program.c_str(), &actions, nullptr,
                                words.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(ends[1]);
  output_ = ends[0];
  if (error != 0) {
    pid_ = -1;
    throw std::runtime_error("cannot start " + program);
  }
}

ChildProcess::~ChildProcess() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    Wait();
  }
  close(output_);
}

std::string ChildProcess::ReadLine() {
  std::string line;
  char c = 0;
  while (read(output_, &c, 1) == 1 && c != '\n') line += c;
  return line;
}

bool ChildProcess::IsAlive() const {
  siginfo_t info{};
  const int result = waitid(P_PID, static_cast<id_t>(pid_), &info,
                            WEXITED | WNOHANG | WNOWAIT);
  return pid_ > 0 && result == 0 && info.si_pid == 0;
}

std::size_t ChildProcess::CountDescriptors() const {
  const std::filesystem::directory_iterator descriptors(
      "/proc/" + std::to_string(pid_) + "/fd");
  return static_cast<std::size_t>(
      std::distance(begin(descriptors), end(descriptors)));
}

void ChildProcess::Signal(int signal) const { kill(pid_, signal); }

int ChildProcess::Wait() {
  int status = 0;
  waitpid(pid_, &status, 0);
  pid_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::int64_t ChildProcess::StatusNumber(const std::string& name) const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  std::string word;
  while (status >> word) {
    std::int64_t number = 0;
    if (word == name + ":" && status >> number) return number;
  }
  return -1;
}

double ChildProcess::ProcessorTicks() const {
  std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
  std::string word;
  double ticks = 0;
  // User and system time are the 14th and 15th word.
  for (int i = 1; i <= 15 && stat >> word; ++i) {
    if (i >= 14) ticks += std::stod(word);
  }
  return ticks;
}

}  // namespace coltsfootfork
