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

EngineAnnouncement Announced(const char* name) {
  EngineAnnouncement announced;
  announced.server = ServerId(name);
  announced.services = {ServiceId("mirror"), ServiceId("unlisted")};
  return announced;
}

BOOST_AUTO_TEST_CASE(OnlyListedServicesCount) {
  const EngineAnnouncement allowed =
      AsInventoryAllows(Announced("engine-1"), OneServer());
  BOOST_TEST(!allowed.draining);
  BOOST_REQUIRE_EQUAL(allowed.services.size(), 1U);
  BOOST_TEST(allowed.services.front().value() == "mirror");
}

BOOST_AUTO_TEST_CASE(ServerThatIsNotListedIsLeaving) {
  BOOST_TEST(AsInventoryAllows(Announced("engine-2"), OneServer()).draining);
}

}  // namespace
}  // namespace coltsfootfork
