#include "control/GroupPlan.h"

#include "state/BuildValue.h"

#include <boost/test/unit_test.hpp>

namespace magnoliadrum {

namespace {

const MonotonicTime kNow = MonotonicTime::fromMs(100000);

ReplicaStatus
member(const std::string& aId, bool aVoter, std::int64_t aContactAgeMs)
{
  return buildValue<ReplicaStatus>({ .replicaId = aId,
                                     .address = aId + ":1",
                                     .voter = aVoter,
                                     .matchIndex = 1,
                                     .contactAgeMs = aContactAgeMs });
}

std::string
text(const std::optional<GroupChange>& aChange)
{
  return aChange ? std::string(toText(aChange->operation)) + " " + aChange->replicaId : "nothing";
}

} // namespace

BOOST_AUTO_TEST_SUITE(group_plan)

BOOST_AUTO_TEST_CASE(a_whole_group_is_left_alone)
{
  GroupPlan plan(1);
  const std::vector<ReplicaStatus> members = { member("a", true, 0),
                                               member("b", true, 100),
                                               member("c", true, 200) };
  BOOST_TEST(text(plan.next(members, kNow)) == "nothing");
}

BOOST_AUTO_TEST_CASE(a_spare_is_kept_and_takes_the_place_of_a_lost_voter)
{
  GroupPlan plan(1);
  plan.ask("d", "d:1", kNow);
  std::vector<ReplicaStatus> members = { member("a", true, 0),
                                         member("b", true, 100),
                                         member("c", true, 200) };
  BOOST_TEST(text(plan.next(members, kNow)) == "add d");
  members.push_back(member("d", false, 50));
  BOOST_TEST(text(plan.next(members, kNow)) == "nothing");
  members[2] = member("c", true, 3000);
  BOOST_TEST(text(plan.next(members, kNow)) == "promote d");
  members[3] = member("d", true, 50);
  BOOST_TEST(text(plan.next(members, kNow)) == "remove c");
}

BOOST_AUTO_TEST_CASE(a_lost_voter_stays_without_a_successor)
{
  GroupPlan plan(1);
  const std::vector<ReplicaStatus> members = { member("a", true, 0),
                                               member("b", true, 100),
                                               member("c", true, 9000) };
  BOOST_TEST(text(plan.next(members, kNow)) == "nothing");
}

BOOST_AUTO_TEST_CASE(a_lost_disk_at_the_same_address_is_replaced)
{
  GroupPlan plan(1);
  plan.ask("c2", "c:1", kNow);
  const std::vector<ReplicaStatus> members = { member("a", true, 0),
                                               member("b", true, 100),
                                               member("c", true, 200) };
  BOOST_TEST(text(plan.next(members, kNow)) == "remove c");
  const std::vector<ReplicaStatus> left = { members[0], members[1] };
  BOOST_TEST(text(plan.next(left, kNow)) == "add c2");
}

BOOST_AUTO_TEST_CASE(a_group_grows_to_the_voters_that_bear_two_losses)
{
  GroupPlan plan(2);
  plan.ask("d", "d:1", kNow);
  std::vector<ReplicaStatus> members = { member("a", true, 0),
                                         member("b", true, 100),
                                         member("c", true, 200) };
  BOOST_TEST(text(plan.next(members, kNow)) == "add d");
  members.push_back(member("d", false, 50));
  BOOST_TEST(text(plan.next(members, kNow)) == "promote d");
}

BOOST_AUTO_TEST_CASE(a_replica_that_no_longer_asks_is_not_added)
{
  GroupPlan plan(1);
  plan.ask("d", "d:1", kNow);
  const std::vector<ReplicaStatus> members = { member("a", true, 0), member("b", true, 100) };
  BOOST_TEST(text(plan.next(members, kNow.plusMs(GroupPlan::kJoinerMs + 1))) == "nothing");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnoliadrum
