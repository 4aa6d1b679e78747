#include "shell/fleet/departure_log.h"

#include <stdlib.h>

#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <string>

namespace coltsfootfork {
namespace {

namespace fs = std::filesystem;

constexpr Time kNow{std::chrono::seconds(100)};

ServerRecord Departure(const std::string& id, ServerState state,
                       std::uint64_t incarnation = 1) {
  ServerRecord record;
  record.id = ServerId(id);
  record.incarnation = incarnation;
  record.service = ServiceId("s");
  record.address = "10.0.0.1:80";
  record.state = state;
  return record;
}

struct DepartureLogFixture {
  DepartureLogFixture() {
    std::string pattern =
        (fs::temp_directory_path() / "departures-XXXXXX").string();
    folder = ::mkdtemp(pattern.data());
  }
  ~DepartureLogFixture() { fs::remove_all(folder); }
  DepartureLogFixture(const DepartureLogFixture&) = delete;
  DepartureLogFixture& operator=(const DepartureLogFixture&) = delete;

  // Stores the record in the directory and appends it.
  bool Append(DepartureLog& log, const ServerRecord& record) {
    directory.Merge(record, kNow);
    return log.Append({record}, directory, kNow);
  }
  // Returns the directory that a restarted process recovers.
  ServerDirectory Recover() const {
    ServerDirectory recovered;
    DepartureLog log(folder, nullptr);
    for (const ServerRecord& record : log.TakeRecovered()) {
      recovered.Merge(record, kNow);
    }
    return recovered;
  }
  std::string path() const { return folder + "/departures"; }

  std::string folder;
  ServerDirectory directory;
};

BOOST_FIXTURE_TEST_CASE(DeparturesAreRecovered, DepartureLogFixture) {
  {
    DepartureLog log(folder, nullptr);
    BOOST_TEST(Append(log, Departure("a", ServerState::kDraining)));
    BOOST_TEST(Append(log, Departure("b", ServerState::kRemoved)));
    BOOST_TEST(Append(log, Departure("a", ServerState::kRemoved)));
    BOOST_TEST(log.Contains(Departure("a", ServerState::kDraining)));
    BOOST_TEST(!log.Contains(Departure("a", ServerState::kDraining, 2)));
    BOOST_TEST(!log.Contains(Departure("c", ServerState::kDraining)));
  }
  const ServerDirectory recovered = Recover();
  BOOST_TEST(recovered.entries().size() == 2U);
  BOOST_CHECK(recovered.digest() == directory.digest());
}

BOOST_FIXTURE_TEST_CASE(TornWriteLosesOnlyItself, DepartureLogFixture) {
  {
    DepartureLog log(folder, nullptr);
    BOOST_TEST(Append(log, Departure("a", ServerState::kRemoved)));
    BOOST_TEST(Append(log, Departure("b", ServerState::kRemoved)));
  }
  fs::resize_file(path(), fs::file_size(path()) - 3);
  const ServerDirectory recovered = Recover();
  BOOST_TEST(recovered.entries().size() == 1U);
  BOOST_TEST(recovered.Find(ServerId("a")) != nullptr);
}

// Appending to a file with a torn tail would make the new departures
// unreadable.
BOOST_FIXTURE_TEST_CASE(DeparturesAfterATornWriteAreRecovered,
                        DepartureLogFixture) {
  std::ofstream(path()) << "torn";
  {
    DepartureLog log(folder, nullptr);
    BOOST_TEST(log.TakeRecovered().empty());
    BOOST_TEST(Append(log, Departure("a", ServerState::kRemoved)));
  }
  BOOST_TEST(Recover().entries().size() == 1U);
}

// After a failed write the state of the file is unknown.
BOOST_FIXTURE_TEST_CASE(WriteAfterAnErrorStoresAllDepartures,
                        DepartureLogFixture) {
  for (const StorageStep step :
       {StorageStep::kWrite, StorageStep::kSync, StorageStep::kRename,
        StorageStep::kSyncFolder}) {
    fs::remove(path());
    directory = ServerDirectory();
    bool fails = false;
    DepartureLog log(folder, [&](StorageStep one) {
      return fails && one == step ? ENOSPC : 0;
    });
    fails = step == StorageStep::kRename || step == StorageStep::kSyncFolder;
    if (!fails) BOOST_TEST(Append(log, Departure("a", ServerState::kRemoved)));
    fails = true;
    BOOST_TEST(!Append(log, Departure("b", ServerState::kRemoved)));
    BOOST_TEST(!log.Contains(Departure("b", ServerState::kRemoved)));
    fails = false;
    BOOST_TEST(Append(log, Departure("c", ServerState::kRemoved)));
    BOOST_TEST(log.Contains(Departure("b", ServerState::kRemoved)));
    BOOST_CHECK(Recover().digest() == directory.digest());
  }
}

BOOST_FIXTURE_TEST_CASE(FileSizeIsBoundedByTheDirectory, DepartureLogFixture) {
  constexpr int kIncarnations = 2000;
  constexpr std::uint64_t kMaxBytes = 65 * kBytesPerKibibyte;
  DepartureLog log(folder, nullptr);
  for (int i = 1; i <= kIncarnations; ++i) {
    BOOST_REQUIRE(Append(log, Departure("a", ServerState::kRemoved, i)));
    BOOST_REQUIRE(log.bytes() < kMaxBytes);
    BOOST_REQUIRE(fs::file_size(path()) == log.bytes());
  }
  BOOST_TEST(Recover().Find(ServerId("a"))->record.incarnation ==
             kIncarnations);
}

}  // namespace
}  // namespace coltsfootfork
