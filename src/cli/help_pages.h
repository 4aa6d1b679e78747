#pragma once

// The help pages, one per subcommand. docopt parses the options from them.
namespace coltsfootfork {

extern const char kMainHelp[];
extern const char kRunHelp[];
extern const char kCheckHelp[];
extern const char kApplyHelp[];
extern const char kDiffHelp[];
extern const char kReplayHelp[];
extern const char kStatusHelp[];
extern const char kVersionHelp[];

}  // namespace coltsfootfork
