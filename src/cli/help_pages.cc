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
  check     Checks a settings or configuration file, or a routing plan.
  apply     Replaces the configuration in force.
  diff      Shows what a configuration file would change.
  replay    Checks a recorded trace against expected outcomes.
  status    Shows every process and its revision in force.
  version   Prints the version.

"coltsfootfork <command> --help" shows a command's own page.

Exit codes:
  0  done
  1  findings or differences were reported, or the command failed
  2  the command line is invalid, or a file of check cannot be read
  3  no response was received, so that the outcome is unknown
  4  another change is in force already
)";

const char kRunHelp[] =
    R"(Runs one process of the system until it receives a signal to stop.

Usage:
  coltsfootfork run --settings <file> [--record <trace>] [--record-bodies]
  coltsfootfork run --help

Options:
  --settings <file>  The settings of this process, in JSON.
  --record <trace>   Record the inputs and effects of the entry, for replay.
  --record-bodies    Record complete bodies and texts, not length and digest.

The first line on standard output is a JSON object with every address in use.
The log goes to standard error. SIGTERM starts a graceful shutdown: running
requests are completed, then the process exits with code 0. A second SIGTERM
stops it immediately.
)";

const char kCheckHelp[] =
    R"(Checks a file and reports all findings together, each with its JSON pointer.

Usage:
  coltsfootfork check --settings <file> [--json]
  coltsfootfork check --configuration <file> [--against <file>] [--json]
  coltsfootfork check --configuration <file> --admin <address> --token-file <file> [--json]
  coltsfootfork check --plan <file> [--against <file>] [--regions <names>] [--memory-mb <number>] [--json]
  coltsfootfork check --plan <file> --admin <address> [--token-file <file>] [--regions <names>] [--memory-mb <number>] [--json]
  coltsfootfork check --help

Options:
  --settings <file>       The settings of one process.
  --configuration <file>  Inventory and rules.
  --plan <file>           Routes, services, limits and workspaces on the users'
                          platform.
  --against <file>        Show the differences from this file, the version in
                          force.
  --admin <address>       Show the differences from the version in force, read
                          from this administration address; for a plan, from
                          this address of a control process.
  --token-file <file>     A file with the operator's token.
  --regions <names>       The regions of the deployment, separated by commas.
  --memory-mb <number>    The memory of the smallest entry, in MiB.
  --json                  Print the report as JSON.

The exit code is 0 if there are no findings, 1 if there are, 2 if the arguments
or files are invalid and 3 if the version in force could not be read from the
address. Differences are not findings.
)";

const char kApplyHelp[] =
    R"(Replaces the configuration in force by the content of a file.

Usage:
  coltsfootfork apply <file> --admin <address> --token-file <file> [--revision <number>] [--change-id <id>]
  coltsfootfork apply --help

Options:
  --admin <address>     A process's administration address, as 127.0.0.1:7001.
  --token-file <file>   A file with the operator's token.
  --revision <number>   The revision that the change is based on; without it,
                        the one in force now.
  --change-id <id>      Identifies the change; without it, a random id. A retry
                        with the same id gets the same response.

If no response is received, the request is retried with the same change id. If
another change is in force already, its revision and change id are printed.
)";

const char kDiffHelp[] =
    R"(Shows what a configuration file would change, each with its JSON pointer.

Usage:
  coltsfootfork diff <before> <after>
  coltsfootfork diff <after> --admin <address> --token-file <file>
  coltsfootfork diff --help

Options:
  --admin <address>    Compare with the configuration in force, read from this
                       administration address.
  --token-file <file>  A file with the operator's token.

The exit code is 0 when nothing differs and 1 when something does.
)";

const char kReplayHelp[] =
    R"(Runs the decision core over a recorded trace and checks its invariants.

Usage:
  coltsfootfork replay <trace> [--expect <file>]
  coltsfootfork replay --help

Options:
  --expect <file>  Expected outcomes in JSON; docs/design/replay.md lists them.

Every finding is printed with its line of the trace or with its JSON pointer
into the outcomes. The exit code is 0 if there are no findings and 1 otherwise.
)";

const char kStatusHelp[] =
    R"(Shows every process: roles, zone, revision in force, lease and server.

Usage:
  coltsfootfork status --admin <address> --token-file <file> [--json]
  coltsfootfork status --help

Options:
  --admin <address>    A process's administration address, as 127.0.0.1:7001.
  --token-file <file>  A file with the operator's token.
  --json               Print the JSON document as received.
)";

const char kVersionHelp[] = R"(Prints the version.

Usage:
  coltsfootfork version
  coltsfootfork version --help
)";

}  // namespace coltsfootfork
