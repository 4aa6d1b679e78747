#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootfork {

// The program's exit codes.
enum class ExitCode : int {
  kSuccess = 0,
  // The input has findings, or the outcome is not the wished one.
  kFailed = 1,
  // The command line could not be understood.
  kUsage = 2,
  // No answer came: the outcome is not known.
  kNoResponse = 3,
  // Another change has won; the output names it.
  kConflict = 4,
};

// The arguments of one subcommand, read by its help page.
class Arguments {
 public:
  // Reads the words after the program's name by the page's usage part. Prints
  // the page and sets exit_code() when help is asked for, or when the words
  // do not fit.
  Arguments(const std::string& help_page,
            const std::vector<std::string>& words);

  const std::optional<ExitCode>& exit_code() const { return exit_code_; }
  // Empty where the option or argument was not given.
  std::string Text(const std::string& name) const;
  bool Flag(const std::string& name) const;

 private:
  std::map<std::string, std::string> texts_;
  std::map<std::string, bool> flags_;
  std::optional<ExitCode> exit_code_;
};

}  // namespace coltsfootfork
