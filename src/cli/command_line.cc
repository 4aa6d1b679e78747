#include "cli/command_line.h"

#include <docopt/docopt.h>

#include <iostream>

namespace coltsfootfork {

Arguments::Arguments(const std::string& help_page,
                     const std::vector<std::string>& words) {
  std::map<std::string, docopt::value> values;
  try {
    values = docopt::docopt_parse(help_page, words, /*help=*/true,
                                  /*version=*/false);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << help_page;
    exit_code_ = ExitCode::kSuccess;
    return;
  } catch (const docopt::DocoptArgumentError& error) {
    std::cerr << error.what() << "\n" << help_page;
    exit_code_ = ExitCode::kUsage;
    return;
  }
  for (const auto& [name, value] : values) {
    if (value.isString()) texts_[name] = value.asString();
    if (value.isBool()) flags_[name] = value.asBool();
  }
}

std::string Arguments::Text(const std::string& name) const {
  const auto found = texts_.find(name);
  return found == texts_.end() ? std::string() : found->second;
}

bool Arguments::Flag(const std::string& name) const {
  const auto found = flags_.find(name);
  return found != flags_.end() && found->second;
}

}  // namespace coltsfootfork
