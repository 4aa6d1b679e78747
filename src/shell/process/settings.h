#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coltsfootfork/core/types/finding.h"
#include "coltsfootfork/core/types/ids.h"
#include "shell/log/event.h"
#include "shell/process/control_client.h"

namespace coltsfootfork {

struct EntrySettings {
  // "IP:PORT" to listen on for callers.
  std::string listen;
};

struct AgentSettings {
  // "IP:PORT" to listen on for announcements of the backend server.
  std::string engine_listen;
};

struct ControlSettings {
  // The bootstrap voters of the replica group; if empty, only this process.
  std::vector<ProcessId> founders;
};

// The local settings of one process, read at its start. All other options come
// from the replicated configuration. Every address is an IP address with a
// port; for port 0 the kernel chooses the port.
struct Settings {
  ProcessId process;
  ZoneId zone;
  // The folder for state that must survive a restart; empty if the process has
  // no disk.
  std::string data_folder;
  // "IP:PORT" to listen on for other processes.
  std::string peer_listen;
  // "IP:PORT" advertised to other processes; if empty, the listening address.
  std::string peer_advertise;
  std::string fleet_key;
  // "IP:PORT" to listen on for operators, metrics and health checks.
  std::string admin_listen;
  // SHA-256 of the operators' bearer token, in hexadecimal digits.
  std::string operator_token_sha256;
  // The addresses at which control replicas listen for peers.
  std::vector<ControlSeed> control_seeds;
  std::optional<EntrySettings> entry;
  std::optional<AgentSettings> agent;
  std::optional<ControlSettings> control;
  LogLevel log_level = LogLevel::kInfo;
  // Set on the command line: the path of the file that records the entry's
  // decisions (none if empty), and whether it includes complete bodies.
  std::string record_path;
  bool record_bodies = false;
};

// Parses and validates a settings document. Adds each problem to the findings
// with its JSON pointer; returns nullopt if there is any.
std::optional<Settings> ParseSettings(std::string_view json_text,
                                      Findings& findings);

}  // namespace coltsfootfork
