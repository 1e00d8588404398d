#include "control/control_fixture_test.h"
#include "jobs/JobsFixture.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

constexpr ConnectionId kNorthRelay = 11;
constexpr ConnectionId kSouthRelay = 12;
constexpr ConnectionId kCaller = 21;

WorkerDescription
workerIn(const std::string& aDataCentre)
{
  return buildValue<WorkerDescription>(
    { .workerId = "worker-" + aDataCentre,
      .bornMs = 1,
      .poolName = "desk",
      .dataCentre = aDataCentre,
      .capacity = buildValue<Resources>({ .cpuMilli = 4000, .memoryMb = 10000 }) });
}

/** A leader with a worker in the data centre north and one in south, each with room for four tasks
 * of one core. */
struct EvacuationFixture : ControlServiceFixture
{
  EvacuationFixture()
  {
    deliver(kCaller,
            buildValue<QueueCatalogueSubmit>(
              { .requestId = "c1", .catalogue = queueCatalogue(1, { jobQueue("urgent") }) }));
    openRelays();
    registerWorker("north");
    registerWorker("south");
    mSent.clear();
  }

  struct Site
  {
    ConnectionId relay = 0;
    std::int64_t session = 0;
    std::int64_t fence = 0;
    std::int64_t clockMs = 50000;
  };

  void openRelays()
  {
    for (const auto& [name, relay] : std::map<std::string, ConnectionId>{
           { "north", kNorthRelay }, { "south", kSouthRelay } }) {
      mSites[name].relay = relay;
      mSites[name].session = open(relay,
                                  buildValue<AdmitSession>({ .processId = "relay-" + name,
                                                             .processKind = ProcessKind::eRelay,
                                                             .incarnation = "i1" }));
    }
  }

  void registerWorker(const std::string& aSite)
  {
    Site& site = mSites[aSite];
    takeMessages<WorkerOrders>(site.relay);
    deliver(site.relay, buildValue<WorkerReport>({ .worker = workerIn(aSite) }));
    site.fence = takeMessages<WorkerOrders>(site.relay).back().fence();
    report(aSite);
  }

  /** Reports the lists of a worker: all runs that the log places there are at work, except those in
   * mStopped. Without aListsRuns none is. */
  void report(const std::string& aSite,
              bool aListsRuns = true,
              const std::vector<ListedEnd>& aEnds = {})
  {
    Site& site = mSites[aSite];
    site.clockMs += 100;
    WorkerReport::Fields fields{
      .worker = workerIn(aSite), .listFence = site.fence, .clockMs = site.clockMs, .ended = aEnds
    };
    for (const std::string& jobId : mState.jobs().openJobs()) {
      mState.jobs().find(jobId)->forEachTask(
        [&](const TaskId& aTask, const JobTaskRecord::Fields& aRecord) {
          if (aListsRuns && aRecord.active && aRecord.worker == "worker-" + aSite &&
              !mStopped.contains(aTask.text())) {
            fields.running.push_back(
              buildValue<ListedRun>({ .task = aTask.text(), .run = aRecord.run, .percent = 100 }));
          }
        });
    }
    deliver(site.relay, buildValue<WorkerReport>(std::move(fields)));
  }

  /** Lets time pass while both workers report, or only the one named. */
  void wait(std::int64_t aMs, const std::string& aOnly = "")
  {
    constexpr std::int64_t kStepMs = 100;
    for (std::int64_t elapsedMs = 0; elapsedMs < aMs; elapsedMs += kStepMs) {
      for (const auto& [name, site] : mSites) {
        if (aOnly.empty() || aOnly == name) {
          heartbeat(site.relay, site.session, "relay-" + name);
          report(name);
        }
      }
      advance(kStepMs);
    }
  }

  void submit(const std::string& aJobId, const JobStep::Fields& aStep)
  {
    deliver(kCaller,
            buildValue<JobSubmit>({ .requestId = "s-" + aJobId,
                                    .queue = buildValue<QueueSelector>({ .name = "urgent" }),
                                    .job = jobOf(aJobId, { aStep }) }));
  }

  static EvacuationRequest request(const std::string& aDataCentre, bool aEvacuated)
  {
    return buildValue<EvacuationRequest>(
      { .requestId = "e1", .dataCentre = aDataCentre, .evacuated = aEvacuated });
  }

  EvacuationListing evacuate(const std::string& aDataCentre, bool aEvacuated = true)
  {
    takeMessages<EvacuationListing>(kOperator);
    deliver(kOperator, request(aDataCentre, aEvacuated));
    const std::vector<EvacuationListing> listings = takeMessages<EvacuationListing>(kOperator);
    BOOST_REQUIRE(listings.size() == 1u);
    return listings.front();
  }

  /** Numbers of active runs of a job by site. */
  std::map<std::string, std::int64_t> activeRuns(const std::string& aJobId)
  {
    std::map<std::string, std::int64_t> runs;
    mState.jobs().find(aJobId)->forEachTask(
      [&runs](const TaskId& /*aTask*/, const JobTaskRecord::Fields& aRecord) {
        if (aRecord.active) {
          runs[aRecord.worker]++;
        }
      });
    return runs;
  }

  template<typename Order>
  static void append(std::vector<Order>& aTo, const std::vector<Order>& aFrom)
  {
    aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
  }

  /** Returns the starts and the stops that were ordered at a site since the last call. */
  std::pair<std::vector<StartOrder>, std::vector<StopOrder>> takeOrders(const std::string& aSite)
  {
    std::pair<std::vector<StartOrder>, std::vector<StopOrder>> taken;
    for (const WorkerOrders& orders : takeMessages<WorkerOrders>(mSites[aSite].relay)) {
      append(taken.first, orders.starts());
      append(taken.second, orders.stops());
    }
    return taken;
  }

  std::map<std::string, Site> mSites;
  /** Tasks whose runs a worker has stopped, by name. */
  std::set<std::string> mStopped;
};

JobStep::Fields
standingStep(std::int64_t aCount, std::int64_t aMaxUnavailable)
{
  JobStep::Fields step = stepOf(aCount, 1000, 10);
  step.longRunning = true;
  step.maxUnavailable = aMaxUnavailable;
  return step;
}

} // namespace

BOOST_AUTO_TEST_SUITE(evacuation_service)

// Guards against EVAC: a task that starts in an evacuated data centre, although only that one has
// room.
BOOST_FIXTURE_TEST_CASE(nothing_starts_in_an_evacuated_data_centre, EvacuationFixture)
{
  BOOST_TEST(evacuate("north").changed());
  submit("j", stepOf(8, 1000, 10));
  wait(3000);
  BOOST_TEST(activeRuns("j")["worker-south"] == 4);
  BOOST_TEST(activeRuns("j")["worker-north"] == 0);
  BOOST_TEST(takeOrders("north").first.empty());
  BOOST_TEST(evacuate("north", false).evacuated().empty());
  wait(EvacuationDriver::kReturnMs + 200);
  BOOST_TEST(activeRuns("j")["worker-north"] == 4);
}

// Guards against EVAC: the assignment is behind the evacuation in the log, so its order would be
// sent after the acknowledgement.
BOOST_FIXTURE_TEST_CASE(an_assignment_committed_after_the_evacuation_gets_no_start_order,
                        EvacuationFixture)
{
  deliver(kOperator, request("south", true));
  mService.onMessage(
    kCaller,
    buildValue<JobSubmit>({ .requestId = "s",
                            .queue = buildValue<QueueSelector>({ .name = "urgent" }),
                            .job = jobOf("j", { stepOf(1, 1000, 10) }) }));
  mService.onMessage(kOperator, request("north", true));
  runPostedFunctions();
  BOOST_TEST(activeRuns("j")["worker-north"] == 1, "assigned before, closed after");
  const auto [starts, stops] = takeOrders("north");
  BOOST_TEST(starts.empty());
  BOOST_REQUIRE(stops.size() == 1u);
  BOOST_TEST(stops.front().task() == "j.0.0.0");
}

// Guards against EVAC: a start order that was lost before the evacuation is repeated after it.
BOOST_FIXTURE_TEST_CASE(a_start_order_without_effect_is_not_repeated, EvacuationFixture)
{
  deliver(kOperator, request("south", true));
  submit("j", stepOf(1, 1000, 10));
  BOOST_TEST(takeOrders("north").first.size() == 1u);
  evacuate("north");
  std::size_t starts = 0;
  std::size_t stops = 0;
  for (int step = 0; step < 20; step++) {
    advance(100);
    heartbeat(kNorthRelay, mSites["north"].session, "relay-north");
    report("north", false);
    const auto orders = takeOrders("north");
    starts += orders.first.size();
    stops += orders.second.size();
  }
  BOOST_TEST(starts == 0u);
  BOOST_TEST(stops > 0u, "the run is closed, so that it can be assigned elsewhere");
}

// Guards against LOST: an acknowledged evacuation is forgotten with the leader that acknowledged
// it.
BOOST_FIXTURE_TEST_CASE(a_new_leader_and_a_snapshot_keep_the_evacuation, EvacuationFixture)
{
  evacuate("north");
  const Result<ControlState> restored = ControlState::decodeSnapshot(mState.encodeSnapshot(), "t");
  BOOST_REQUIRE(isOk(restored));
  BOOST_TEST(valueOf(restored).sessions().evacuated().contains("north"));
  submit("j", stepOf(8, 1000, 10));
  mLog.setLeader(false, mNow);
  mLog.setLeader(true, mNow);
  openRelays();
  registerWorker("north");
  registerWorker("south");
  wait(2000);
  BOOST_TEST(activeRuns("j")["worker-north"] == 0);
  BOOST_TEST(activeRuns("j")["worker-south"] == 4);
  BOOST_TEST(!evacuate("north").changed(), "a resend is answered by the new leader");
}

// Guards against starts after a take-back that another operator overtook: the last request in the
// log counts, and each answer tells what was in force then.
BOOST_FIXTURE_TEST_CASE(of_an_evacuation_and_a_take_back_the_last_one_counts, EvacuationFixture)
{
  mService.onMessage(kOperator, request("north", true));
  mService.onMessage(kOperator, request("north", false));
  mService.onMessage(kOperator, request("north", true));
  runPostedFunctions();
  const std::vector<EvacuationListing> listings = takeMessages<EvacuationListing>(kOperator);
  BOOST_REQUIRE(listings.size() == 3u);
  BOOST_TEST(listings[0].evacuated().size() == 1u);
  BOOST_TEST(listings[1].evacuated().empty());
  BOOST_TEST(listings[2].evacuated().size() == 1u);
  submit("j", stepOf(8, 1000, 10));
  wait(500);
  BOOST_TEST(activeRuns("j")["worker-north"] == 0);
  BOOST_TEST(!evacuate("north").changed());
  BOOST_TEST(evacuate("north", false).changed());
  BOOST_TEST(!evacuate("north", false).changed());
}

BOOST_FIXTURE_TEST_CASE(only_a_known_data_centre_is_accepted, EvacuationFixture)
{
  deliver(kOperator, request("nowhere", true));
  const std::vector<OperationFailed> failed = takeMessages<OperationFailed>(kOperator);
  BOOST_REQUIRE(failed.size() == 1u);
  BOOST_TEST((failed.front().code() == FailureCode::eNotFound));
  BOOST_TEST(mState.sessions().evacuated().empty());
  BOOST_TEST(evacuate(settings().dataCentre()).changed(), "named by the settings");
  BOOST_TEST(evacuate("north").changed());
  BOOST_TEST(evacuate("south").evacuated().size() == 3u, "accepted though no room is left");
}

// Guards against starts after a cut: the workers of the evacuated data centre were out of reach,
// their runs have ended elsewhere, and they come back idle.
BOOST_FIXTURE_TEST_CASE(a_cut_data_centre_that_comes_back_gets_nothing, EvacuationFixture)
{
  submit("j", stepOf(6, 1000, 10));
  wait(200);
  BOOST_TEST(activeRuns("j")["worker-north"] > 0);
  wait(300, "south");
  evacuate("north");
  wait(settings().workerLeaseMs() * 11 / 10, "south");
  BOOST_TEST(activeRuns("j")["worker-north"] == 0);
  BOOST_TEST(activeRuns("j")["worker-south"] == 4);
  openRelays();
  registerWorker("north");
  takeOrders("north");
  wait(2000);
  BOOST_TEST(activeRuns("j")["worker-north"] == 0);
  BOOST_TEST(takeOrders("north").first.empty());
}

// Guards against AVAIL, and against standing tasks that stay in an evacuated data centre although
// there is room elsewhere.
BOOST_FIXTURE_TEST_CASE(standing_tasks_leave_within_their_budget, EvacuationFixture)
{
  evacuate("south");
  submit("watch", standingStep(3, 1));
  wait(300);
  BOOST_TEST(activeRuns("watch")["worker-north"] == 3);
  evacuate("south", false);
  wait(EvacuationDriver::kReturnMs + 100);
  takeOrders("north");
  const EvacuationListing listing = evacuate("north");
  BOOST_TEST(listing.evacuated().front().longRunningRuns() == 3);
  BOOST_TEST(listing.evacuated().front().waitingForBudget() == 2);
  for (std::int64_t moved = 1; moved <= 3; moved++) {
    const std::vector<StopOrder> stops = takeOrders("north").second;
    BOOST_REQUIRE(stops.size() == 1u);
    const std::string task = stops.front().task();
    mStopped.insert(task);
    constexpr bool kListsRuns = true;
    report(
      "north",
      kListsRuns,
      { buildValue<ListedEnd>(
        { .number = moved, .task = task, .run = stops.front().run(), .how = RunEnd::eStopped }) });
    advance(100);
    BOOST_TEST(takeOrders("north").second.empty(), "the moved task is not at work yet");
    mStopped.erase(task);
    report("south");
    advance(EvacuationDriver::kPlanMs + 100);
    BOOST_TEST(activeRuns("watch")["worker-south"] == moved);
  }
  BOOST_TEST(activeRuns("watch")["worker-north"] == 0);
}

// Guards against a rush on executors that come back cold.
BOOST_FIXTURE_TEST_CASE(the_return_is_spread, EvacuationFixture)
{
  evacuate("north");
  submit("j", stepOf(8, 1000, 10));
  wait(300);
  evacuate("north", false);
  BOOST_TEST(activeRuns("j")["worker-north"] == 1);
  wait(EvacuationDriver::kReturnMs / 2);
  BOOST_TEST(activeRuns("j")["worker-north"] == 2);
  wait(EvacuationDriver::kReturnMs / 2 + 100);
  BOOST_TEST(activeRuns("j")["worker-north"] == 4);
}

// Guards against tasks of catalogue entries that are placed on, or started at, the workers of an
// evacuated data centre.
BOOST_FIXTURE_TEST_CASE(tasks_of_entries_are_not_placed_in_an_evacuated_data_centre,
                        EvacuationFixture)
{
  constexpr ConnectionId kAgent = 31;
  open(kAgent, admitWorker("agent-1", "i1"));
  evacuate("Tulcea");
  submitRun();
  advance(500);
  BOOST_TEST((task().state() == TaskState::ePending));
  BOOST_TEST(takeMessages<TaskStart>(kAgent).empty());
  evacuate("Tulcea", false);
  advance(500);
  BOOST_TEST((task().state() == TaskState::ePlaced));
}

BOOST_AUTO_TEST_SUITE_END()
