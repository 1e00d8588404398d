#include "control/MembershipPlanner.h"

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
describe(const std::optional<MembershipChange>& aChange)
{
  return aChange ? std::string(toText(aChange->operation)) + " " + aChange->replicaId : "nothing";
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership_planner)

BOOST_AUTO_TEST_CASE(complete_group_needs_no_change)
{
  MembershipPlanner planner(1);
  const std::vector<ReplicaStatus> members = { member("a", true, 0),
                                               member("b", true, 100),
                                               member("c", true, 200) };
  BOOST_TEST(describe(planner.nextChange(members, kNow)) == "nothing");
}

BOOST_AUTO_TEST_CASE(spare_is_added_and_replaces_a_lost_voter)
{
  MembershipPlanner planner(1);
  planner.recordJoinRequest("d", "d:1", kNow);
  std::vector<ReplicaStatus> members = { member("a", true, 0),
                                         member("b", true, 100),
                                         member("c", true, 200) };
  BOOST_TEST(describe(planner.nextChange(members, kNow)) == "add d");
  members.push_back(member("d", false, 50));
  BOOST_TEST(describe(planner.nextChange(members, kNow)) == "nothing");
  members[2] = member("c", true, 3000);
  BOOST_TEST(describe(planner.nextChange(members, kNow)) == "promote d");
  members[3] = member("d", true, 50);
  BOOST_TEST(describe(planner.nextChange(members, kNow)) == "remove c");
}

BOOST_AUTO_TEST_CASE(lost_voter_is_kept_while_no_spare_exists)
{
  MembershipPlanner planner(1);
  const std::vector<ReplicaStatus> members = { member("a", true, 0),
                                               member("b", true, 100),
                                               member("c", true, 9000) };
  BOOST_TEST(describe(planner.nextChange(members, kNow)) == "nothing");
}

BOOST_AUTO_TEST_CASE(replica_with_a_new_id_replaces_the_member_at_its_address)
{
  MembershipPlanner planner(1);
  planner.recordJoinRequest("c2", "c:1", kNow);
  const std::vector<ReplicaStatus> members = { member("a", true, 0),
                                               member("b", true, 100),
                                               member("c", true, 200) };
  BOOST_TEST(describe(planner.nextChange(members, kNow)) == "remove c");
  const std::vector<ReplicaStatus> remaining = { members[0], members[1] };
  BOOST_TEST(describe(planner.nextChange(remaining, kNow)) == "add c2");
}

BOOST_AUTO_TEST_CASE(group_grows_to_the_voters_needed_for_two_failures)
{
  MembershipPlanner planner(2);
  planner.recordJoinRequest("d", "d:1", kNow);
  std::vector<ReplicaStatus> members = { member("a", true, 0),
                                         member("b", true, 100),
                                         member("c", true, 200) };
  BOOST_TEST(describe(planner.nextChange(members, kNow)) == "add d");
  members.push_back(member("d", false, 50));
  BOOST_TEST(describe(planner.nextChange(members, kNow)) == "promote d");
}

BOOST_AUTO_TEST_CASE(replica_whose_join_request_expired_is_not_added)
{
  MembershipPlanner planner(1);
  planner.recordJoinRequest("d", "d:1", kNow);
  const std::vector<ReplicaStatus> members = { member("a", true, 0), member("b", true, 100) };
  BOOST_TEST(describe(planner.nextChange(
               members, kNow.plusMs(MembershipPlanner::kJoinRequestValidMs + 1))) == "nothing");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnoliadrum
