#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "soak/arrival_checker.h"
#include "soak/soak_fleet.h"

namespace coltsfootfork {

// An operator who orders evacuations of zones, and repeats each order every
// second at the next control process until it is acknowledged. One zone at most
// is evacuated at a time.
class EvacuationOperator {
 public:
  using Acknowledged = std::function<void()>;

  EvacuationOperator(boost::asio::io_context& io,
                     const std::vector<SoakFleet::Process>& controls,
                     ArrivalChecker& checker)
      : io_(io), controls_(controls), checker_(checker) {}

  // Orders an evacuation. Returns false without an order if one is in progress.
  bool Start(const std::string& zone, Acknowledged done);
  // Ends the evacuation. Its start must have been acknowledged.
  void End(Acknowledged done);
  // No evacuation is in progress.
  bool is_idle() const { return zone_.empty(); }
  // The evacuated zones according to the last order that was acknowledged.
  const std::vector<std::string>& zones() const { return zones_; }

 private:
  // Sends the order, and again unless `acknowledged` becomes true.
  void Send(const std::string& path, const std::shared_ptr<bool>& acknowledged,
            const Acknowledged& done);

  boost::asio::io_context& io_;
  const std::vector<SoakFleet::Process>& controls_;
  ArrivalChecker& checker_;
  std::size_t next_control_ = 0;
  // The zone of the evacuation in progress; empty if there is none.
  std::string zone_;
  std::vector<std::string> zones_;
};

}  // namespace coltsfootfork
