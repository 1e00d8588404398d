#include "fleetmodel/fleetmodel.h"
#include "jobs/JobsFixture.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

/** A pool of 16 cores. Of the 12 that the job "first" takes, 2 more are kept for restarts. */
struct FullPoolFixture
{
  FullPoolFixture()
  {
    mFleet.run(2000);
    mFleet.submit(standingJobOf("first", 12, 1000));
    mFleet.run(1000);
    BOOST_REQUIRE(mFleet.isKnown("first"));
    mFleet.takeReplies();
  }

  JobReply submit(const JobDescription& aJob)
  {
    mFleet.submit(aJob);
    const std::vector<JobReply> replies = mFleet.takeReplies();
    BOOST_REQUIRE(replies.size() == 1u);
    return replies.front();
  }

  bool isRefused(const JobDescription& aJob)
  {
    return submit(aJob).outcome() == JobOutcome::eRefused;
  }

  FleetModel mFleet{ 4, { 4000, 100000, 0 } };
};

} // namespace

BOOST_AUTO_TEST_SUITE(refused_jobs)

BOOST_FIXTURE_TEST_CASE(refused_job_never_runs, FullPoolFixture)
{
  const JobReply reply = submit(standingJobOf("second", 3, 1000));
  BOOST_TEST((reply.outcome() == JobOutcome::eRefused));
  BOOST_TEST(reply.retryAfterMs() >= JobAdmission::kMinRetryAfterMs);
  BOOST_TEST(reply.retryAfterMs() <= JobAdmission::kMaxRetryAfterMs);
  mFleet.run(5000);
  BOOST_TEST(!mFleet.isKnown("second"));
  BOOST_TEST(mFleet.startsOf("second.0.0.0") == 0);
}

BOOST_FIXTURE_TEST_CASE(resend_of_an_accepted_job_is_not_refused, FullPoolFixture)
{
  BOOST_TEST((submit(standingJobOf("first", 12, 1000)).outcome() == JobOutcome::eAccepted));
  BOOST_TEST(isRefused(standingJobOf("second", 3, 1000)));
}

BOOST_FIXTURE_TEST_CASE(short_jobs_are_accepted_by_a_full_pool, FullPoolFixture)
{
  BOOST_TEST(!isRefused(jobOf("short", { stepOf(50, 1000, 10) })));
}

BOOST_FIXTURE_TEST_CASE(room_of_a_cancelled_job_is_promised_again, FullPoolFixture)
{
  BOOST_TEST(isRefused(standingJobOf("second", 3, 1000)));
  mFleet.cancel("first");
  mFleet.run(2000);
  mFleet.takeReplies();
  BOOST_TEST(!isRefused(standingJobOf("second", 3, 1000)));
}

// Guards against room that stays promised to a job that is over, because its hand-in came again.
BOOST_FIXTURE_TEST_CASE(resend_of_a_cancelled_job_promises_nothing, FullPoolFixture)
{
  mFleet.cancel("first");
  mFleet.run(2000);
  mFleet.takeReplies();
  BOOST_TEST((submit(standingJobOf("first", 12, 1000)).outcome() == JobOutcome::eAccepted));
  BOOST_TEST(!isRefused(standingJobOf("second", 3, 1000)));
}

BOOST_FIXTURE_TEST_CASE(occurrences_of_a_scheduled_job_are_promised_together, FullPoolFixture)
{
  JobDescription::Fields scheduled = standingJobOf("second", 1, 500).fields();
  scheduled.firstDueMs = 3600000;
  scheduled.intervalMs = 1000;
  scheduled.occurrences = 5;
  BOOST_TEST(isRefused(valueOf(JobDescription::create(scheduled))));
  scheduled.occurrences = 4;
  BOOST_TEST(!isRefused(valueOf(JobDescription::create(scheduled))));
}

// Guards against two jobs that are decided before either is committed, and both get the same room.
BOOST_FIXTURE_TEST_CASE(jobs_that_are_not_committed_yet_count, FullPoolFixture)
{
  constexpr std::int64_t kNoCost = 0;
  mFleet.modelBusyLeader(kNoCost);
  mFleet.submit(standingJobOf("second", 2, 1000));
  mFleet.submit(standingJobOf("third", 2, 1000));
  mFleet.run(1000);
  BOOST_TEST(mFleet.isKnown("second"));
  BOOST_TEST(!mFleet.isKnown("third"));
}

// Guards against a new leader that promises the pool again.
BOOST_FIXTURE_TEST_CASE(new_leader_knows_what_is_promised, FullPoolFixture)
{
  mFleet.changeLeader();
  const JobReply atOnce = submit(standingJobOf("second", 3, 1000));
  BOOST_TEST((atOnce.outcome() == JobOutcome::eRefused));
  BOOST_TEST(atOnce.retryAfterMs() == JobAdmission::kMinRetryAfterMs,
             "workers that have not reported yet may have room");
  mFleet.run(3000);
  BOOST_TEST(isRefused(standingJobOf("second", 3, 1000)));
  BOOST_TEST(!isRefused(standingJobOf("third", 2, 1000)));
}

// Guards against a new leader that has not seen the demand of short work.
BOOST_FIXTURE_TEST_CASE(new_leader_knows_the_demand_of_short_work, FullPoolFixture)
{
  mFleet.modelBusyLeader(0);
  for (int second = 0; second < 6; second++) {
    mFleet.submit(jobOf("short" + std::to_string(second), { stepOf(4, 1000, 10) }));
    mFleet.run(1000);
  }
  mFleet.changeLeader();
  mFleet.run(3000);
  mFleet.takeReplies();
  mFleet.submit(standingJobOf("second", 2, 1000));
  mFleet.run(100);
  BOOST_TEST(!mFleet.isKnown("second"));
}

BOOST_FIXTURE_TEST_CASE(worker_that_leaves_takes_its_room_along, FullPoolFixture)
{
  mFleet.announceEnd(0);
  mFleet.run(1000);
  mFleet.takeReplies();
  BOOST_TEST(isRefused(standingJobOf("second", 1, 1000)));
}

BOOST_AUTO_TEST_SUITE_END()
