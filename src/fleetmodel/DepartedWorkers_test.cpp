#include "fleetmodel/fleetmodel.h"
#include "jobs/JobsFixture.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

constexpr ResourceAmount kWorkerCapacity{ 4000, 100000, 0 };

/** Time in ms from the announcement of a worker to its end, from there to SIGTERM for its relay,
 * and from its end until a standing task has to run again. */
constexpr std::int64_t kAnnouncedMs = 4000;
constexpr std::int64_t kEndToStopMs = 1000;
constexpr std::int64_t kToleratedMs = 6000;
/** Time in ms within which a task of a worker that left as announced runs again under one leader.
 */
constexpr std::int64_t kRestartedWithinMs = 3000;

/** A fleet on which the task s.0.0.0 has lost its run because its worker left as announced. */
struct DepartureFixture
{
  DepartureFixture()
  {
    mFleet.run(1000);
    mFleet.submit(standingJobOf("s", 1, 1000));
    mFleet.run(2000);
    mSlot = mFleet.slotOf("s.0.0.0");
    BOOST_REQUIRE(mSlot < mFleet.slots());
    mFleet.announceEnd(mSlot);
    mFleet.run(kAnnouncedMs);
    mFleet.endWorker(mSlot);
  }

  FleetModel mFleet{ 3, kWorkerCapacity };
  std::size_t mSlot = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(departed_workers)

BOOST_FIXTURE_TEST_CASE(tasks_of_a_departed_worker_run_again, DepartureFixture)
{
  mFleet.run(kEndToStopMs);
  mFleet.stopRelay(mSlot);
  mFleet.run(kEndToStopMs);
  BOOST_TEST(mFleet.isRunning("s.0.0.0"));
  BOOST_TEST(mFleet.violations() == "");
}

// Guards against LOST: the tasks of a worker that has left wait for a whole lease, because the
// leader changed before it had committed their ends and the worker's relay was stopped meanwhile.
BOOST_FIXTURE_TEST_CASE(tasks_of_a_departed_worker_run_again_though_the_leader_changes,
                        DepartureFixture)
{
  mFleet.run(300);
  mFleet.loseLeader();
  mFleet.run(kEndToStopMs - 300);
  mFleet.stopRelay(mSlot);
  mFleet.run(700);
  mFleet.electLeader();
  mFleet.run(kToleratedMs - kEndToStopMs - 700);
  BOOST_TEST(mFleet.isRunning("s.0.0.0"));
  BOOST_TEST(mFleet.violations() == "");
}

// Guards against the same when the relay is stopped while its worker still drains.
BOOST_FIXTURE_TEST_CASE(stopped_relay_reports_the_end_of_a_draining_worker, DepartureFixture)
{
  mFleet.run(kEndToStopMs);
  const std::size_t slot = mFleet.slotOf("s.0.0.0");
  BOOST_REQUIRE(slot < mFleet.slots());
  BOOST_TEST(slot != mSlot);
  mFleet.announceEnd(slot);
  mFleet.run(1000);
  mFleet.stopRelay(slot);
  mFleet.run(1500);
  mFleet.endWorker(slot);
  mFleet.run(kRestartedWithinMs);
  BOOST_TEST(mFleet.isRunning("s.0.0.0"));
  BOOST_TEST(mFleet.violations() == "");
}

// Guards against an announced departure that counts as a crash of the worker, because a new
// leader's orders make the relay call a worker that is no longer there.
BOOST_FIXTURE_TEST_CASE(departure_is_no_crash_for_a_new_leader, DepartureFixture)
{
  mFleet.run(300);
  mFleet.changeLeader();
  mFleet.run(kRestartedWithinMs);
  BOOST_TEST(mFleet.isRunning("s.0.0.0"));
  BOOST_TEST(mFleet.crashesOf("s.0.0.0") == 0);
}

// Guards against LOST: a job is shown as failed, because its worker left three times beside a
// change of the leader.
BOOST_AUTO_TEST_CASE(job_survives_departures_beside_changes_of_the_leader)
{
  FleetModel fleet(4, kWorkerCapacity);
  fleet.run(1000);
  JobStep::Fields step = stepOf(1, 1000, 10);
  step.estimateMs = 60000;
  fleet.submit(jobOf("s", { step }));
  for (int departure = 0; departure < 3; departure++) {
    fleet.run(3000);
    const std::size_t slot = fleet.slotOf("s.0.0.0");
    BOOST_REQUIRE(slot < fleet.slots());
    fleet.announceEnd(slot);
    fleet.run(kAnnouncedMs);
    fleet.endWorker(slot);
    fleet.run(300);
    fleet.changeLeader();
  }
  fleet.run(kRestartedWithinMs);
  BOOST_TEST((fleet.stateOf("s") == JobState::eRunning));
  BOOST_TEST(fleet.violations() == "");
}

// Guards against LOST: each leader of a short term waits anew for the time that a departed worker
// may take to exit.
BOOST_FIXTURE_TEST_CASE(tasks_of_a_departed_worker_run_again_in_short_terms, DepartureFixture)
{
  constexpr std::int64_t kTermMs = 450;
  constexpr std::int64_t kWithoutLeaderMs = 600;
  for (int term = 0; term < 5; term++) {
    mFleet.loseLeader();
    mFleet.run(kWithoutLeaderMs);
    mFleet.electLeader();
    mFleet.run(kTermMs);
  }
  BOOST_TEST(mFleet.isRunning("s.0.0.0"));
  BOOST_TEST(mFleet.violations() == "");
}

BOOST_AUTO_TEST_SUITE_END()
