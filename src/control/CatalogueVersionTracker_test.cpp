#include "control/CatalogueVersionTracker.h"
#include "control/control_fixture_test.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

constexpr std::int64_t kTerm = 3;
const MonotonicTime kStart = MonotonicTime::fromMs(10000);

void
addEntry(Catalogue& aCatalogue, const std::string& aName, std::size_t aPayloadBytes = 0)
{
  CatalogueEntry::Fields entry = taskEntry(aName, EntryKind::eBatch).fields();
  entry.payload = std::string(aPayloadBytes, 'x');
  aCatalogue.apply(entryChange(aName, 0, entry));
}

} // namespace

// Guards against a version that counts as in force while a session still applies an older one.
BOOST_AUTO_TEST_CASE(version_is_in_force_when_every_session_reports_it)
{
  CatalogueVersionTracker tracker;
  tracker.addSession(1, "g1");
  tracker.addSession(2, "g2");
  tracker.recordReportedVersion(1, 5);
  tracker.recordReportedVersion(2, 4);
  BOOST_REQUIRE(tracker.sessionsBehind(5).size() == 1U);
  BOOST_TEST(tracker.sessionsBehind(5)[0].processId() == "g2");
  tracker.recordReportedVersion(2, 3);
  BOOST_TEST(tracker.appliedVersion(2) == 4);
  tracker.removeSession(2);
  BOOST_TEST(tracker.sessionsBehind(5).empty());
}

// Guards against updates that a process cannot apply because they do not start at its version.
BOOST_AUTO_TEST_CASE(updates_continue_where_the_last_one_ended)
{
  Catalogue catalogue;
  addEntry(catalogue, "a");
  CatalogueVersionTracker tracker;
  tracker.addSession(1, "g1");
  const auto first = tracker.nextUpdate(1, catalogue, kTerm, kStart);
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST(first->complete());
  BOOST_TEST(first->term() == kTerm);
  BOOST_TEST(!tracker.nextUpdate(1, catalogue, kTerm, kStart).has_value());
  addEntry(catalogue, "b");
  const auto second = tracker.nextUpdate(1, catalogue, kTerm, kStart);
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(second->fromVersion() == 1);
  BOOST_TEST(second->records().size() == 1U);
}

// Guards against an update that is never sent again after a lost message or connection.
BOOST_AUTO_TEST_CASE(lost_update_is_sent_again)
{
  Catalogue catalogue;
  addEntry(catalogue, "a");
  CatalogueVersionTracker tracker;
  tracker.addSession(1, "g1");
  tracker.nextUpdate(1, catalogue, kTerm, kStart);
  const MonotonicTime later = kStart.plusMs(CatalogueVersionTracker::kResendMs);
  BOOST_TEST(tracker.nextUpdate(1, catalogue, kTerm, later).has_value());
  tracker.onReconnected(1);
  BOOST_TEST(tracker.nextUpdate(1, catalogue, kTerm, later).has_value());
  tracker.recordReportedVersion(1, 1);
  BOOST_TEST(!tracker.nextUpdate(1, catalogue, kTerm, later.plusMs(60000)).has_value());
}

// Guards against sending the whole catalogue to every process after a leader change.
BOOST_AUTO_TEST_CASE(new_leader_waits_for_the_reported_version_of_an_existing_session)
{
  Catalogue catalogue;
  addEntry(catalogue, "a");
  addEntry(catalogue, "b");
  CatalogueVersionTracker tracker;
  tracker.startTerm(
    { { 1, buildValue<SessionRecord>({ .session = 1, .processId = "g1", .incarnation = "i" }) } });
  BOOST_TEST(tracker.sessionsBehind(1).size() == 1U);
  BOOST_TEST(!tracker.nextUpdate(1, catalogue, kTerm, kStart).has_value());
  tracker.recordReportedVersion(1, 1);
  const auto update = tracker.nextUpdate(1, catalogue, kTerm, kStart);
  BOOST_REQUIRE(update.has_value());
  BOOST_TEST(update->fromVersion() == 1);
}

// Guards against a process that waits forever for its first update when the catalogue is empty.
BOOST_AUTO_TEST_CASE(empty_catalogue_is_sent_once)
{
  const Catalogue catalogue;
  CatalogueVersionTracker tracker;
  tracker.addSession(1, "g1");
  BOOST_TEST(tracker.nextUpdate(1, catalogue, kTerm, kStart).has_value());
  BOOST_TEST(!tracker.nextUpdate(1, catalogue, kTerm, kStart.plusMs(60000)).has_value());
}

// Guards against an update that exceeds the maximum message size, and against a change that counts
// as in force after one part of an update although its record is in a later part.
BOOST_AUTO_TEST_CASE(large_update_is_split_and_its_version_counts_after_the_last_part)
{
  Catalogue catalogue;
  for (int number = 0; number < 40; number++) {
    addEntry(catalogue, "e" + std::to_string(number), 60000);
  }
  CatalogueEntry::Fields changed = taskEntry("e0", EntryKind::eBatch).fields();
  changed.urgent = true;
  catalogue.apply(entryChange("again", 1, changed));
  CatalogueVersionTracker tracker;
  tracker.addSession(1, "g1");
  std::vector<CatalogueUpdate> updates;
  while (const auto update = tracker.nextUpdate(1, catalogue, kTerm, kStart)) {
    updates.push_back(*update);
  }
  BOOST_REQUIRE(updates.size() > 1U);
  for (std::size_t part = 1; part < updates.size(); part++) {
    BOOST_TEST(updates[part].fromVersion() == updates[part - 1].toVersion());
  }
  BOOST_TEST(updates.back().toVersion() == catalogue.version());
  tracker.recordReportedVersion(1, updates.front().toVersion());
  BOOST_TEST(tracker.sessionsBehind(1).size() == 1U);
  tracker.recordReportedVersion(1, updates.back().toVersion());
  BOOST_TEST(tracker.sessionsBehind(catalogue.version()).empty());
}
