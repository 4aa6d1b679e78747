#pragma once

#include <boost/asio/io_context.hpp>

#include "coltsfootfork/core/configuration/configuration_synchronizer.h"
#include "coltsfootfork/core/metrics/metrics_registry.h"
#include "coltsfootfork/core/types/time.h"
#include "shell/clock/monotonic_now.h"
#include "shell/process/control_client.h"
#include "shell/process/peer_link_manager.h"
#include "shell/process/settings.h"

namespace coltsfootfork {

// The objects that the roles of one process share. The process owns them and
// outlives its roles.
struct ProcessContext {
  boost::asio::io_context& io;
  const Settings& settings;
  PeerLinkManager& peer_links;
  ControlClient& control;
  ConfigurationSynchronizer& synchronizer;
  MetricsRegistry& metrics;
};

}  // namespace coltsfootfork
