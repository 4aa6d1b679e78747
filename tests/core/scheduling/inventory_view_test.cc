#include "coltsfootfork/core/scheduling/inventory_view.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

Configuration OneServer() {
  Configuration configuration;
  InventoryServer server;
  server.id = ServerId("engine-1");
  server.services = {ServiceId("mirror")};
  configuration.servers = {server};
  return configuration;
}

EngineAnnouncement MakeAnnouncement(const char* name) {
  EngineAnnouncement announcement;
  announcement.server = ServerId(name);
  announcement.services = {ServiceId("mirror"), ServiceId("unlisted")};
  return announcement;
}

BOOST_AUTO_TEST_CASE(OnlyListedServicesCount) {
  const EngineAnnouncement allowed =
      RestrictToInventory(MakeAnnouncement("engine-1"), OneServer());
  BOOST_TEST(!allowed.draining);
  BOOST_REQUIRE_EQUAL(allowed.services.size(), 1U);
  BOOST_TEST(allowed.services.front().value() == "mirror");
}

BOOST_AUTO_TEST_CASE(UnlistedServerIsLeaving) {
  BOOST_TEST(
      RestrictToInventory(MakeAnnouncement("engine-2"), OneServer()).draining);
}

}  // namespace
}  // namespace coltsfootfork
