#include "state/state_fixture_test.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

constexpr int kCommandCount = 4000;
constexpr int kSeedCount = 6;

/** Generates random commands over small sets of names, so that most refer to existing state. */
class CommandGenerator
{
public:
  explicit CommandGenerator(unsigned aSeed)
    : mRandom(aSeed)
  {
  }

  Command next(const ControlState& aState)
  {
    switch (pick(15)) {
      case 0:
        return buildValue<ApplyChange>({ .change = nextChange(aState) });
      case 1:
        return nextAdmission(aState);
      case 2:
        return buildValue<ExpireSession>({ .session = anySession(aState) });
      case 3:
        return buildValue<CreateTask>(
          { .taskId = "recon/" + std::to_string(pick(500)), .entryName = "recon", .payload = "p" });
      case 4:
        return buildValue<CancelTask>({ .taskId = anyTask(aState).taskId() });
      case 5:
        return buildValue<DrainTarget>({ .targetId = anyProcess(), .draining = pick(3) == 0 });
      case 6:
        return nextStop(aState);
      case 7:
      case 8:
      case 9:
        return nextPlacement(aState);
      case 10:
        return buildValue<SaveLearnedFigures>({ .figures = nextFigures() });
      case 11:
        return buildValue<SetEvacuation>(
          { .dataCentre = pick(2) == 0 ? "Tulcea" : "Braila", .evacuated = pick(4) == 0 });
      default:
        return nextReport(aState);
    }
  }

private:
  LearnedFigures nextFigures()
  {
    return buildValue<LearnedFigures>(
      { .savedAtMs = pick(1000),
        .runTimes = { buildValue<LearnedRunTime>(
          { .queueName = "quotes", .count = 3, .meanLogRatio = 0.1 * pick(20) }) },
        .interference = { buildValue<LearnedInterference>(
          { .serving = "web", .image = "batch", .mean = 0.1 * pick(20), .ageMs = pick(1000) }) } });
  }

  int pick(int aBound) { return std::uniform_int_distribution<int>(0, aBound - 1)(mRandom); }

  std::string anyProcess() { return "vm-" + std::to_string(pick(4)); }

  std::int64_t anySession(const ControlState& aState)
  {
    const auto& sessions = aState.sessions().all();
    return sessions.empty() ? 1 : std::next(sessions.begin(), pick(sessions.size()))->first;
  }

  TaskRecord anyTask(const ControlState& aState)
  {
    const auto& tasks = aState.tasks().all();
    if (tasks.empty()) {
      return buildValue<TaskRecord>({ .taskId = "recon/0", .entryName = "recon" });
    }
    return std::next(tasks.begin(), pick(tasks.size()))->second;
  }

  /** Usually a task that a session holds, sometimes any task. */
  TaskRecord anyHeldTask(const ControlState& aState)
  {
    const std::set<std::string>& held = aState.tasks().heldBy(anySession(aState));
    if (held.empty() || pick(5) == 0) {
      return anyTask(aState);
    }
    return *aState.tasks().find(*std::next(held.begin(), pick(held.size())));
  }

  /** Usually a pending task, sometimes any task. */
  TaskRecord anyPendingTask(const ControlState& aState)
  {
    const std::set<std::string>& pending = aState.tasks().pending();
    if (pending.empty() || pick(5) == 0) {
      return anyTask(aState);
    }
    return *aState.tasks().find(*std::next(pending.begin(), pick(pending.size())));
  }

  /** Usually the current epoch, sometimes the one before or after it. */
  std::int64_t nearEpoch(const TaskRecord& aTask)
  {
    return std::max<std::int64_t>(1, aTask.epoch() + (pick(4) == 0 ? pick(3) - 1 : 0));
  }

  /** Usually the current version of the record, sometimes a random one. */
  std::int64_t nearVersion(const ControlState& aState, const std::string& aRecordName)
  {
    const CatalogueRecord* record = aState.catalogue().findRecord(aRecordName);
    const std::int64_t version = record != nullptr ? record->version() : 0;
    return pick(4) == 0 ? pick(30) : version;
  }

  CatalogueChange nextChange(const ControlState& aState)
  {
    const std::string id = "c" + std::to_string(pick(2000));
    switch (pick(16)) {
      case 0:
        return deletion(id, nearVersion(aState, "recon"), "recon");
      case 1:
        return deletion(id, nearVersion(aState, "watch"), "watch");
      case 2:
      case 3:
      case 4:
        return entryChange(id, nearVersion(aState, "watch"), standingEntry("watch", 1 + pick(4)));
      default:
        CatalogueEntry::Fields entry = batchEntry("recon");
        entry.dataCentres = { "Tulcea", "Braila" };
        entry.dataCentres.resize(1 + pick(2));
        return entryChange(id, nearVersion(aState, "recon"), entry);
    }
  }

  Command nextAdmission(const ControlState& aState)
  {
    std::vector<RunningTask> listed;
    for (int count = pick(4); count > 0; count--) {
      const TaskRecord task = anyHeldTask(aState);
      listed.push_back(running(task.taskId(), nearEpoch(task)));
    }
    return admitWorker(anyProcess(),
                       "i" + std::to_string(pick(3)),
                       std::move(listed),
                       pick(2) == 0 ? "Tulcea" : "Braila");
  }

  Command nextStop(const ControlState& aState)
  {
    const TaskRecord task = anyHeldTask(aState);
    return buildValue<RequestStop>({ .taskId = task.taskId(), .epoch = nearEpoch(task) });
  }

  Command nextPlacement(const ControlState& aState)
  {
    const TaskRecord task = anyPendingTask(aState);
    return buildValue<PlaceTask>({ .taskId = task.taskId(),
                                   .epoch = nearEpoch(task) + (pick(4) == 0 ? 0 : 1),
                                   .session = anySession(aState) });
  }

  Command nextReport(const ControlState& aState)
  {
    const TaskRecord task = anyHeldTask(aState);
    const TaskState state = static_cast<TaskState>(pick(11));
    return report(task.taskId(), nearEpoch(task), state, pick(2) == 0 ? "" : "cp");
  }

  std::mt19937 mRandom;
};

/** Checks the invariants of the state after each command, some against the previous state. */
class InvariantChecker
{
public:
  void check(const ControlState& aState)
  {
    BOOST_REQUIRE(aState.catalogue().version() >= mCatalogueVersion);
    mCatalogueVersion = aState.catalogue().version();
    for (const auto& [name, record] : aState.catalogue().records()) {
      BOOST_REQUIRE(record.version() >= mVersions[name]);
      mVersions[name] = record.version();
    }
    for (const auto& [taskId, task] : aState.tasks().all()) {
      checkTask(aState, task);
    }
    for (const auto& [number, session] : aState.sessions().all()) {
      checkSession(aState, session);
    }
  }

private:
  void checkTask(const ControlState& aState, const TaskRecord& aTask)
  {
    BOOST_REQUIRE(aTask.epoch() >= mEpochs[aTask.taskId()]);
    mEpochs[aTask.taskId()] = aTask.epoch();
    BOOST_REQUIRE(isHeld(aTask.state()) == (aTask.session() != 0));
    if (isHeld(aTask.state())) {
      BOOST_REQUIRE(aState.sessions().find(aTask.session()) != nullptr);
      BOOST_REQUIRE(aState.tasks().heldBy(aTask.session()).contains(aTask.taskId()));
    }
    const auto ended = mEnded.find(aTask.taskId());
    // The worker that ran a task may return and report an outcome that was unknown.
    const bool wasUnknown =
      ended != mEnded.end() && ended->second == TaskState::eOutcomeUnknown &&
      (aTask.state() == TaskState::eCompleted || aTask.state() == TaskState::ePublished);
    BOOST_REQUIRE((ended == mEnded.end() || ended->second == aTask.state() || wasUnknown));
    if (isTerminal(aTask.state())) {
      mEnded[aTask.taskId()] = aTask.state();
    }
  }

  /** Checks that a task in a data centre that its entry does not allow is being stopped. */
  static void checkSession(const ControlState& aState, const SessionRecord& aSession)
  {
    for (const std::string& taskId : aState.tasks().heldBy(aSession.session())) {
      const TaskRecord& task = *aState.tasks().find(taskId);
      BOOST_REQUIRE(task.session() == aSession.session());
      const CatalogueEntry* entry = aState.catalogue().findEntry(task.entryName());
      BOOST_REQUIRE(
        (task.stopRequested() || task.state() == TaskState::eCompleted ||
         (entry != nullptr && allowsDataCentre(*entry, aSession.target()->dataCentre()))));
    }
  }

  std::int64_t mCatalogueVersion = 0;
  std::map<std::string, std::int64_t> mVersions;
  std::map<std::string, std::int64_t> mEpochs;
  std::map<std::string, TaskState> mEnded;
};

} // namespace

// Guards against command sequences that break an invariant and that no other test covers, and
// against state that a snapshot loses: a replica restored from a snapshot must reach the same state
// as the others.
BOOST_AUTO_TEST_CASE(random_commands_keep_the_invariants_and_the_snapshot_is_complete)
{
  for (unsigned seed = 0; seed < kSeedCount; seed++) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      CommandGenerator generator(seed);
      InvariantChecker checker;
      StateMachine original;
      StateMachine restored;
      std::size_t taskChanges = 0;
      for (int number = 0; number < kCommandCount; number++) {
        const Command command = generator.next(original.state());
        const Outcome outcome = original.apply(command);
        taskChanges += applied(outcome) ? 1 : 0;
        BOOST_REQUIRE((restored.apply(command) == outcome));
        checker.check(original.state());
        if (number % 500 == 250) {
          restored.state() =
            valueOf(ControlState::decodeSnapshot(original.state().encodeSnapshot(), "test"));
        }
      }
      BOOST_TEST(original.state().encodeSnapshot() == restored.state().encodeSnapshot());
      BOOST_TEST(taskChanges > 200U);
    }
  }
}

// Guards against a snapshot without intents, answers or service-level rows.
BOOST_AUTO_TEST_CASE(snapshot_holds_intents_answers_and_history)
{
  StateMachine stateMachine;
  stateMachine.change(entryChange("c1", 0, serviceEntry("pickup")));
  const auto intent =
    buildValue<IntentRecord>({ .key = "k", .entryName = "pickup", .attempt = "a" });
  stateMachine.apply(buildValue<OpenIntent>({ .intent = intent }));
  const HttpAnswer answer =
    buildValue<HttpAnswer>({ .status = 200, .body = std::string("\xff\x00", 2) });
  stateMachine.apply(buildValue<SettleIntent>({ .key = "k",
                                                .entryName = "pickup",
                                                .attempt = "a",
                                                .outcome = IntentOutcome::eDone,
                                                .answer = answer }));
  const ServiceLevelRow row =
    buildValue<ServiceLevelRow>({ .entryName = "pickup", .minute = 5, .total = 1 });
  stateMachine.apply(buildValue<RecordServiceLevel>({ .rows = { row } }));
  const std::string bytes = stateMachine.state().encodeSnapshot();
  const ControlState copy = valueOf(ControlState::decodeSnapshot(bytes, "test"));
  BOOST_TEST(copy.encodeSnapshot() == bytes);
  BOOST_TEST((copy.intents().find("pickup", "k")->answer() == answer));
  BOOST_TEST((copy.catalogue().findAnswer("c1") != nullptr));
  BOOST_TEST(copy.serviceLevel().rows("pickup").size() == 1U);
}

// Guards against finished tasks that are never removed after a restart because a snapshot lost
// their order.
BOOST_AUTO_TEST_CASE(snapshot_holds_the_order_of_finished_tasks)
{
  StateMachine stateMachine;
  stateMachine.createRun();
  stateMachine.apply(buildValue<CancelTask>({ .taskId = "recon/night" }));
  const std::string bytes = stateMachine.state().encodeSnapshot();
  const SnapshotContent content = valueOf(decodeSnapshotContent(bytes, "test", "local"));
  BOOST_TEST(std::get<StateSnapshot>(content).finished().size() == 1U);
}

// Guards against a replica that starts from a damaged snapshot.
BOOST_AUTO_TEST_CASE(damaged_snapshot_is_an_error)
{
  StateMachine stateMachine;
  stateMachine.createRun();
  const std::string bytes = stateMachine.state().encodeSnapshot();
  BOOST_TEST(!isOk(ControlState::decodeSnapshot(bytes.substr(0, bytes.size() / 2), "test")));
  BOOST_TEST(!isOk(ControlState::decodeSnapshot("", "test")));
}
