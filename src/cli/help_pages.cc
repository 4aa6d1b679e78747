#include "cli/help_pages.h"

namespace coltsfootfork {

const char kMainHelp[] =
    R"(coltsfootfork: serves generations of unknown length on crowded engines.

Usage:
  coltsfootfork <command> [<argument>...]
  coltsfootfork --help

Commands:
  run       Runs one process of the system.
  platform  Runs one process of the system on the users' platform.
  check     Checks a settings or configuration file.
  apply     Replaces the configuration in force.
  diff      Shows what a configuration file would change.
  replay    Checks a recorded trace against stated outcomes.
  status    Shows every process and what it has in force.
  version   Prints the version.

"coltsfootfork <command> --help" shows a command's own page.

Exit codes:
  0  done
  1  the input has findings, or the outcome is not the wished one
  2  the command line could not be understood
  3  no answer came, so that the outcome is not known
  4  another change has won
)";

const char kRunHelp[] =
    R"(Runs one process of the system until it is told to stop.

Usage:
  coltsfootfork run --settings <file> [--record <trace>] [--record-bodies]
  coltsfootfork run --help

Options:
  --settings <file>  The settings of this process, in JSON.
  --record <trace>   Record what the entry takes in and does, for replay.
  --record-bodies    Record bodies and texts whole; else length and digest.

The first line on standard output is a JSON object with every address in use.
The log goes to standard error. SIGTERM starts a planned stop: running requests
go on to their end, then the process ends with exit code 0. A second SIGTERM
ends it at once.
)";

const char kCheckHelp[] =
    R"(Checks a file and reports all findings together, each with its JSON pointer.

Usage:
  coltsfootfork check --settings <file>
  coltsfootfork check --configuration <file>
  coltsfootfork check --help

Options:
  --settings <file>       The settings of one process.
  --configuration <file>  Inventory and rules.
)";

const char kApplyHelp[] = R"(Replaces the configuration in force by a file's.

Usage:
  coltsfootfork apply <file> --admin <address> --token-file <file> [--revision <number>] [--change-id <id>]
  coltsfootfork apply --help

Options:
  --admin <address>     A process's administration address, as 127.0.0.1:7001.
  --token-file <file>   A file with the operator's token.
  --revision <number>   The revision that the change is based on; without it,
                        the one in force now.
  --change-id <id>      Names the change; without it, a random name. The same
                        name gets the same answer again.

A lost answer is asked for again by itself, under the same change id. When
another change has won, its revision and change id are printed.
)";

const char kDiffHelp[] =
    R"(Shows what a configuration file would change, each with its JSON pointer.

Usage:
  coltsfootfork diff <before> <after>
  coltsfootfork diff <after> --admin <address> --token-file <file>
  coltsfootfork diff --help

Options:
  --admin <address>    Compare with the configuration in force, asked here.
  --token-file <file>  A file with the operator's token.

The exit code is 0 when nothing differs and 1 when something does.
)";

const char kReplayHelp[] =
    R"(Runs the decision core over a recorded trace and checks what must hold.

Usage:
  coltsfootfork replay <trace> [--expect <file>]
  coltsfootfork replay --help

Options:
  --expect <file>  Stated outcomes, in JSON; docs/design/replay.md lists them.

Every finding is printed with its line of the trace or with its JSON pointer
into the outcomes. The exit code is 0 when there is none and 1 otherwise.
)";

const char kStatusHelp[] =
    R"(Shows every process: roles, zone, revision in force, lease and server.

Usage:
  coltsfootfork status --admin <address> --token-file <file> [--json]
  coltsfootfork status --help

Options:
  --admin <address>    A process's administration address, as 127.0.0.1:7001.
  --token-file <file>  A file with the operator's token.
  --json               Print the document as it came.
)";

const char kVersionHelp[] = R"(Prints the version.

Usage:
  coltsfootfork version
  coltsfootfork version --help
)";

}  // namespace coltsfootfork
