#include "state/state_fixture_test.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

bool
hasFault(const std::vector<std::string>& aFaults, const std::string& aPrefix)
{
  return std::any_of(aFaults.begin(), aFaults.end(), [&aPrefix](const std::string& aFault) {
    return aFault.starts_with(aPrefix + ":");
  });
}

} // namespace

// Guards against a lost update when two operators change the same version.
BOOST_AUTO_TEST_CASE(second_change_of_the_same_version_is_a_conflict)
{
  StateMachine stateMachine;
  stateMachine.change(entryChange("c1", 0, serviceEntry("pickup")));
  BOOST_TEST((stateMachine.change(entryChange("c2", 1, serviceEntry("pickup"))).outcome() ==
              ChangeOutcome::eAccepted));
  const ChangeAnswer answer = stateMachine.change(entryChange("c3", 1, serviceEntry("pickup")));
  BOOST_TEST((answer.outcome() == ChangeOutcome::eConflict));
  BOOST_TEST(answer.version() == 2);
  BOOST_TEST(stateMachine.state().catalogue().version() == 2);
}

// Guards against a resent change that is applied twice, or that is answered with a conflict
// although the original was accepted.
BOOST_AUTO_TEST_CASE(resent_change_gets_the_first_answer)
{
  StateMachine stateMachine;
  const ChangeAnswer first = stateMachine.change(entryChange("c1", 0, serviceEntry("pickup")));
  stateMachine.change(entryChange("c2", 1, serviceEntry("pickup")));
  BOOST_TEST((stateMachine.change(entryChange("c1", 0, serviceEntry("pickup"))) == first));
  BOOST_TEST(stateMachine.state().catalogue().version() == 2);
}

// Guards against unbounded memory for answers, and against removal of one of the last 20,000.
BOOST_AUTO_TEST_CASE(answers_to_the_last_changes_are_kept)
{
  Catalogue catalogue;
  for (std::size_t number = 0; number <= Catalogue::kMaxStoredAnswers; number++) {
    catalogue.apply(deletion("c" + std::to_string(number), 0, "absent"));
  }
  BOOST_TEST((catalogue.findAnswer("c0") == nullptr));
  BOOST_TEST((catalogue.findAnswer("c1") != nullptr));
}

// Guards against versions that restart after a deletion, so that an old expectedVersion matches.
BOOST_AUTO_TEST_CASE(versions_continue_after_a_deletion)
{
  StateMachine stateMachine;
  stateMachine.change(entryChange("c1", 0, serviceEntry("pickup")));
  stateMachine.change(deletion("c2", 1, "pickup"));
  BOOST_TEST((stateMachine.state().catalogue().findEntry("pickup") == nullptr));
  const ChangeAnswer again = stateMachine.change(entryChange("c3", 0, serviceEntry("pickup")));
  BOOST_TEST(again.version() == 3);
  BOOST_TEST(
    (stateMachine.change(deletion("c4", 1, "pickup")).outcome() == ChangeOutcome::eConflict));
}

// Guards against a session that misses a deletion or another change that was made while it was
// behind.
BOOST_AUTO_TEST_CASE(changed_records_are_listed_in_version_order)
{
  StateMachine stateMachine;
  stateMachine.change(entryChange("c1", 0, serviceEntry("a")));
  stateMachine.change(entryChange("c2", 0, serviceEntry("b")));
  stateMachine.change(entryChange("c3", 1, serviceEntry("a")));
  stateMachine.change(deletion("c4", 1, "b"));
  const std::vector<CatalogueRecord> changed = stateMachine.state().catalogue().changedSince(1);
  BOOST_REQUIRE(changed.size() == 2U);
  BOOST_TEST(changed[0].recordName() == "a");
  BOOST_TEST(changed[0].catalogueVersion() == 3);
  BOOST_TEST(changed[1].recordName() == "b");
  BOOST_TEST(!changed[1].entry().has_value());
}

// Guards against a check that stops at the first fault.
BOOST_AUTO_TEST_CASE(every_fault_of_a_change_is_listed)
{
  CatalogueEntry::Fields entry = serviceEntry("Pick_Up");
  entry.urgent = true;
  entry.payload = "x";
  entry.repeatable = false;
  entry.serveWithoutControl = true;
  entry.dataCentres = { "Waco", "Waco" };
  entry.limits = buildValue<EntryLimits>({ .maxAttempts = 9, .replicas = 2, .finishWithinMs = 5 });
  CatalogueChange::Fields change = entryChange("c1", 0, entry).fields();
  change.recordName = "other";
  const std::vector<std::string> faults = findChangeFaults(buildValue<CatalogueChange>(change));
  for (const char* path : { "recordName",
                            "entry.name",
                            "entry.urgent",
                            "entry.payload",
                            "entry.serveWithoutControl",
                            "entry.dataCentres[1]",
                            "entry.limits.replicas",
                            "entry.limits.maxAttempts",
                            "entry.limits.finishWithinMs" }) {
    BOOST_TEST(hasFault(faults, path), path);
  }
  BOOST_TEST(faults.size() == 9U);
}

BOOST_AUTO_TEST_CASE(request_fields_are_refused_on_task_entries)
{
  CatalogueEntry::Fields entry = batchEntry("recon");
  entry.workClass = WorkClass::eLatencyCritical;
  entry.repeatable = false;
  entry.serveWithoutControl = true;
  entry.objective = buildValue<Objective>({ .latencyMs = 10, .share = 0.9 });
  entry.limits = buildValue<EntryLimits>({ .requestsPerSecond = 1, .concurrentRequests = 1 });
  const std::vector<std::string> faults = findChangeFaults(entryChange("c1", 0, entry));
  for (const char* path : { "entry.class",
                            "entry.repeatable",
                            "entry.serveWithoutControl",
                            "entry.objective",
                            "entry.limits.requestsPerSecond",
                            "entry.limits.concurrentRequests" }) {
    BOOST_TEST(hasFault(faults, path), path);
  }
}

// Guards against a quota that is stored under the name of another owner, where nothing reads it.
BOOST_AUTO_TEST_CASE(quota_is_stored_under_the_name_of_its_owner)
{
  CatalogueChange::Fields change{ .changeId = "c1",
                                  .recordName = "quota:guild",
                                  .quota = buildValue<OwnerQuota>({ .owner = "delta" }) };
  BOOST_TEST(hasFault(findChangeFaults(buildValue<CatalogueChange>(change)), "recordName"));
  change.recordName = "quota:delta";
  StateMachine stateMachine;
  stateMachine.change(buildValue<CatalogueChange>(change));
  BOOST_TEST((stateMachine.state().catalogue().findQuota("delta") != nullptr));
}

// Guards against task ids and states of the old kind that remain after an entry changes its kind.
BOOST_AUTO_TEST_CASE(changing_the_kind_of_an_entry_is_refused)
{
  StateMachine stateMachine;
  stateMachine.change(entryChange("c1", 0, batchEntry("recon")));
  const ChangeAnswer answer = stateMachine.change(entryChange("c2", 1, standingEntry("recon", 1)));
  BOOST_TEST((answer.outcome() == ChangeOutcome::eInvalid));
  BOOST_TEST(hasFault(answer.faults(), "entry.kind"));
}
