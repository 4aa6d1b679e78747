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
  // "IP:PORT" for callers.
  std::string listen;
};

struct AgentSettings {
  // "IP:PORT" where the backend server announces itself.
  std::string engine_listen;
};

struct ControlSettings {
  // The processes that found the replica group. Empty: this one alone.
  std::vector<ProcessId> founders;
};

// What one process is told at its start. The rest comes from the replicated
// configuration. Every address is an IP number with a port; port 0 lets the
// kernel choose.
struct Settings {
  ProcessId process;
  ZoneId zone;
  // Where the process keeps what must survive; empty where it has no disk.
  std::string data_folder;
  // "IP:PORT" for other processes.
  std::string peer_listen;
  // What other processes are told; empty: the address listened at.
  std::string peer_advertise;
  std::string fleet_key;
  // "IP:PORT" for operators, metrics and health checks.
  std::string admin_listen;
  // SHA-256 of the operators' bearer token, in hexadecimal digits.
  std::string operator_token_sha256;
  // Where control replicas listen for peers.
  std::vector<ControlSeed> control_seeds;
  std::optional<EntrySettings> entry;
  std::optional<AgentSettings> agent;
  std::optional<ControlSettings> control;
  LogLevel log_level = LogLevel::kInfo;
  // Given on the command line: where the entry's decisions are recorded, and
  // whether with whole bodies. Empty: nowhere.
  std::string record_path;
  bool record_bodies = false;
};

// Reads and checks a settings document. All faults are added to the findings,
// each with its JSON pointer; nothing is returned when there is one.
std::optional<Settings> ParseSettings(std::string_view json_text,
                                      Findings& findings);

}  // namespace coltsfootfork
