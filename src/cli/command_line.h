#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootfork {

// Exit codes of the program.
enum class ExitCode : int {
  kSuccess = 0,
  // Findings or differences were reported, or the command failed.
  kFailed = 1,
  // The command line is invalid, or a file of the check cannot be read.
  kUsage = 2,
  // No response was received, so that the outcome is unknown.
  kNoResponse = 3,
  // Another change is in force already; the output names it.
  kConflict = 4,
};

// The arguments of one subcommand, parsed according to its help page.
class Arguments {
 public:
  // Parses the words after the program name according to the usage section of
  // the help page. Prints the page and sets exit_code() if help is requested or
  // the words are invalid.
  Arguments(const std::string& help_page,
            const std::vector<std::string>& words);

  const std::optional<ExitCode>& exit_code() const { return exit_code_; }
  // Returns an empty string if the option or argument is absent.
  std::string Text(const std::string& name) const;
  bool Flag(const std::string& name) const;

 private:
  std::map<std::string, std::string> texts_;
  std::map<std::string, bool> flags_;
  std::optional<ExitCode> exit_code_;
};

}  // namespace coltsfootfork
