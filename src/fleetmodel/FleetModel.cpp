#include "fleetmodel/FleetModel.h"

#include "jobs/JobsFixture.h"

#include <algorithm>
#include <utility>

namespace magnoliadrum {

namespace {

constexpr ConnectionId kFirstRelay = 100;
constexpr ConnectionId kCaller = 21;
constexpr std::int64_t kHeartbeatMs = 100;
/** Time in ms of a message between a relay and the leader. */
constexpr std::int64_t kMessageMs = 2;
/** The users' rule BUDGET: a deadly task may be started this often less one after as many crashes.
 */
constexpr std::int64_t kBudgetCrashes = 3;

/** A task under which this many workers have crashed may be given up. */
constexpr std::int64_t kCrashesToGiveUp = 2;

/** Connects a relay to a model worker. */
class ModelWorkerClient : public WorkerClient
{
public:
  explicit ModelWorkerClient(std::shared_ptr<ModelWorker> aWorker)
    : mWorker(std::move(aWorker))
  {
  }

  void start(const StartOrder& aOrder,
             std::int64_t aFence,
             std::int64_t aLeaseUntilMs,
             OrderCallback aCallback) override
  {
    mWorker->start(aOrder, aFence, aLeaseUntilMs, guarded(std::move(aCallback)));
  }
  void stop(const StopOrder& aOrder, std::int64_t aFence, OrderCallback aCallback) override
  {
    mWorker->stop(aOrder, aFence, guarded(std::move(aCallback)));
  }
  void pace(const PaceOrder& /*aOrder*/, std::int64_t /*aFence*/, OrderCallback aCallback) override
  {
    aCallback(OrderResult::eAccepted, 0);
  }
  void listRuns(const RunListRequest& aRequest,
                std::function<void(Result<RunLists>)> aCallback) override
  {
    mWorker->listRuns(aRequest,
                      [alive = std::weak_ptr<bool>(mAlive),
                       callback = std::move(aCallback)](const Result<RunLists>& aLists) {
                        if (!alive.expired()) {
                          callback(aLists);
                        }
                      });
  }

private:
  OrderCallback guarded(OrderCallback aCallback) const
  {
    return [alive = std::weak_ptr<bool>(mAlive),
            callback = std::move(aCallback)](OrderResult aResult, std::int64_t aClockMs) {
      if (!alive.expired()) {
        callback(aResult, aClockMs);
      }
    };
  }

  std::shared_ptr<ModelWorker> mWorker;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace

FleetModel::FleetModel(std::size_t aWorkers,
                       const ResourceAmount& aCapacity,
                       ModelWorkerDeviations aDeviations)
  : mCapacity(aCapacity)
  , mDeviations(aDeviations)
{
  deliver(kCaller,
          buildValue<QueueCatalogueSubmit>(
            { .requestId = "c1",
              .catalogue = fixture::queueCatalogue(
                1, { fixture::jobQueue("urgent", 0, 3), fixture::jobQueue("tally", 2, 3) }) }));
  mSlots.resize(aWorkers);
  for (std::size_t slot = 0; slot < aWorkers; slot++) {
    mSlots[slot].connection = kFirstRelay + slot;
    mSlots[slot].processId = "relay-" + std::to_string(slot);
    openSession(mSlots[slot]);
    createRelay(slot);
    createWorker(slot);
  }
}

FleetModel::~FleetModel() = default;

void
FleetModel::openSession(Slot& aSlot)
{
  aSlot.session = open(
    aSlot.connection,
    buildValue<AdmitSession>(
      { .processId = aSlot.processId, .processKind = ProcessKind::eRelay, .incarnation = "i1" }));
}

void
FleetModel::reopenExpiredSession(Slot& aSlot)
{
  if (!mLog.isLeader() || mState.sessions().find(aSlot.session) != nullptr) {
    return;
  }
  mSent[aSlot.connection].clear();
  openSession(aSlot);
  aSlot.relay->onSession();
}

void
FleetModel::createRelay(std::size_t aSlot)
{
  Slot& slot = mSlots.at(aSlot);
  RelayContext context;
  context.now = [this]() { return mNow; };
  context.send = [this, aSlot, connection = slot.connection](const Message& aMessage) {
    if (mSlots.at(aSlot).isCut || mSlots.at(aSlot).isRelayStopped) {
      return false;
    }
    runLater(kMessageMs, [this, connection, aMessage]() { toLeader(connection, aMessage); });
    return true;
  };
  context.createClient = [this, aSlot](const WorkerDescription& /*aWorker*/,
                                       const std::string& /*aAddress*/) {
    return Result<std::unique_ptr<WorkerClient>>(
      std::make_unique<ModelWorkerClient>(mSlots.at(aSlot).worker));
  };
  slot.relay = std::make_unique<WorkerRelay>(std::move(context));
}

void
FleetModel::createWorker(std::size_t aSlot)
{
  Slot& slot = mSlots.at(aSlot);
  ModelWorkerContext context;
  context.now = [this]() { return mNow; };
  context.runLater = [this](std::int64_t aMs, std::function<void()> aFunction) {
    runLater(aMs, std::move(aFunction));
  };
  context.onStarted = [this, aSlot](const std::string& aTask, std::int64_t aRun) {
    checkStart(aSlot, aTask, aRun);
  };
  context.onCrashed = [this](const std::string& aTask) { mCrashesUnder[aTask]++; };
  context.sizeOf = [this](const std::string& aTask) { return requiredResources(stepOf(aTask)); };
  context.runTimeMs = [this](const std::string& aTask) {
    return stepOf(aTask).longRunning() ? 0 : stepOf(aTask).estimateMs();
  };
  context.crashDelayMs = [this](const std::string& aTask) {
    const auto deadly = mDeadlyTasks.find(aTask);
    return deadly == mDeadlyTasks.end() ? -1 : deadly->second;
  };
  context.deviations = mDeviations;
  context.poolName = slot.poolName;
  mIncarnations++;
  slot.worker = std::make_shared<ModelWorker>(
    std::move(context), "w" + std::to_string(mIncarnations), mCapacity);
  mWorkers.push_back(slot.worker);
  slot.registrations = 0;
  slot.earlierCapacities.clear();
}

const JobStep&
FleetModel::stepOf(const std::string& aTask) const
{
  const std::optional<TaskId> task = TaskId::parse(aTask);
  return mJobs.at(task->jobId).steps().at(static_cast<std::size_t>(task->step));
}

void
FleetModel::submit(const JobDescription& aJob, const std::string& aQueue)
{
  mJobs.emplace(aJob.jobId(), aJob);
  toLeader(kCaller,
           buildValue<JobSubmit>({ .requestId = "s-" + aJob.jobId(),
                                   .queue = buildValue<QueueSelector>({ .name = aQueue }),
                                   .job = aJob }));
}

std::vector<JobReply>
FleetModel::takeReplies()
{
  return takeMessages<JobReply>(kCaller);
}

void
FleetModel::addAccepted(const JobDescription& aJob)
{
  mJobs.emplace(aJob.jobId(), aJob);
  commitJob(aJob);
}

void
FleetModel::cancel(const std::string& aJobId, const std::string& aQueue)
{
  toLeader(kCaller,
           buildValue<JobCancel>({ .requestId = "c-" + aJobId,
                                   .queue = buildValue<QueueSelector>({ .name = aQueue }),
                                   .jobId = aJobId }));
}

void
FleetModel::modelBusyLeader(std::int64_t aMicrosPerExaminedWorker)
{
  mMicrosPerExaminedWorker = aMicrosPerExaminedWorker;
  mChargedWorkers = mService.metrics().counter("control_examined_workers");
  mWallClockMs = [this]() { return mNow.ms(); };
  mHoldsPostedFunctions = true;
}

void
FleetModel::toLeader(ConnectionId aConnection, const Message& aMessage)
{
  mLeaderInbox.emplace_back(aConnection, aMessage);
  deliverWaiting();
}

void
FleetModel::deliverWaiting()
{
  while (!mLeaderInbox.empty() && !isLeaderBusy()) {
    const auto [connection, message] = std::move(mLeaderInbox.front());
    mLeaderInbox.pop_front();
    deliver(connection, message);
    chargeLeader();
  }
}

void
FleetModel::chargeLeader()
{
  constexpr std::int64_t kMicrosPerMs = 1000;
  if (mMicrosPerExaminedWorker == 0) {
    return;
  }
  const std::int64_t examined = mService.metrics().counter("control_examined_workers");
  mUnchargedMicros +=
    (examined - std::exchange(mChargedWorkers, examined)) * mMicrosPerExaminedWorker;
  mLeaderBusyUntil =
    std::max(mLeaderBusyUntil, mNow)
      .plusMs(std::exchange(mUnchargedMicros, mUnchargedMicros % kMicrosPerMs) / kMicrosPerMs);
}

void
FleetModel::makeDeadly(const std::string& aTask, std::int64_t aDelayMs)
{
  mDeadlyTasks[aTask] = aDelayMs;
}

void
FleetModel::run(std::int64_t aMs)
{
  const MonotonicTime end = mNow.plusMs(aMs);
  while (mNow < end) {
    step();
  }
}

void
FleetModel::step()
{
  mNow = mNow.plusMs(kStepMs);
  while (!mTimers.empty() && mTimers.begin()->first <= mNow.ms()) {
    const std::function<void()> function = std::move(mTimers.begin()->second);
    mTimers.erase(mTimers.begin());
    function();
    runPostedFunctions();
  }
  if (mHoldsPostedFunctions && !isLeaderBusy()) {
    commitHeld();
    chargeLeader();
  }
  tickLeader();
  deliverWaiting();
  for (std::size_t slot = 0; slot < mSlots.size(); slot++) {
    stepSlot(slot);
  }
  mIsTickDue = mIsTickDue || mNow.ms() % ControlService::kTickMs == 0;
  tickLeader();
}

void
FleetModel::tickLeader()
{
  if (!mIsTickDue || isLeaderBusy()) {
    return;
  }
  mIsTickDue = false;
  mService.tick();
  runPostedFunctions();
  chargeLeader();
}

void
FleetModel::stepSlot(std::size_t aSlot)
{
  Slot& slot = mSlots.at(aSlot);
  slot.worker->tick();
  if (!slot.worker->isUp() && !slot.hasLeft) {
    if (slot.restartAt == MonotonicTime()) {
      slot.restartAt = mNow.plusMs(kRestartMs);
    } else if (mNow >= slot.restartAt) {
      slot.restartAt = MonotonicTime();
      createWorker(aSlot);
    }
  }
  const bool isRegistrationDue =
    slot.registrations == 0 || mNow.msSince(slot.registeredAt) >= kRegistrationMs;
  if (slot.worker->isUp() && isRegistrationDue) {
    registerWorker(aSlot);
  }
  if (slot.isRelayStopped) {
    return;
  }
  if (slot.isCut && mNow >= slot.cutUntil) {
    slot.isCut = false;
    mSent[slot.connection].clear();
    openSession(slot);
    slot.relay->onSession();
  }
  const std::vector<WorkerOrders> sent =
    isLeaderBusy() ? std::vector<WorkerOrders>() : takeMessages<WorkerOrders>(slot.connection);
  for (const WorkerOrders& orders : sent) {
    if (slot.isCut) {
      continue;
    }
    toRelay(slot, [this, aSlot, orders]() { mSlots.at(aSlot).relay->onOrders(orders); });
  }
  if (mNow < slot.frozenUntil) {
    return;
  }
  for (const std::function<void()>& function : std::exchange(slot.waiting, {})) {
    function();
  }
  if (mNow.ms() % WorkerRelay::kTickMs == 0) {
    slot.relay->tick();
    slot.isRelayStopped = slot.relay->mayExit();
  }
  if (mNow.ms() % kHeartbeatMs == 0 && !slot.isCut) {
    reopenExpiredSession(slot);
    heartbeat(slot.connection, slot.session, slot.processId);
  }
}

void
FleetModel::registerWorker(std::size_t aSlot)
{
  Slot& slot = mSlots.at(aSlot);
  slot.registeredAt = mNow;
  slot.registrations++;
  toRelay(slot, [this, aSlot, worker = slot.worker->description(), number = slot.registrations]() {
    mSlots.at(aSlot).relay->onRegistration(worker, "model", number);
  });
}

void
FleetModel::toRelay(Slot& aSlot, std::function<void()> aFunction)
{
  aSlot.waiting.push_back(std::move(aFunction));
}

void
FleetModel::runLater(std::int64_t aMs, std::function<void()> aFunction)
{
  mTimers.emplace(mNow.ms() + aMs, std::move(aFunction));
}

void
FleetModel::setQueuePools(const std::string& aUrgentPool, const std::string& aTallyPool)
{
  mCatalogueVersion++;
  toLeader(kCaller,
           buildValue<QueueCatalogueSubmit>(
             { .requestId = "c" + std::to_string(mCatalogueVersion),
               .catalogue = fixture::queueCatalogue(
                 mCatalogueVersion,
                 fixture::queuesInPools({ { fixture::jobQueue("urgent", 0, 3), aUrgentPool },
                                          { fixture::jobQueue("tally", 2, 3), aTallyPool } }),
                 { kFirstPool, kOtherPool, kThirdPool }) }));
}

void
FleetModel::moveWorker(std::size_t aSlot, const std::string& aPool)
{
  mSlots.at(aSlot).poolName = aPool;
  crashWorker(aSlot);
}

void
FleetModel::changeLeader()
{
  loseLeader();
  electLeader();
}

void
FleetModel::loseLeader()
{
  mLog.setLeader(false, mNow);
}

void
FleetModel::electLeader()
{
  mLog.setLeader(true, mNow);
  for (Slot& slot : mSlots) {
    if (slot.isCut || slot.isRelayStopped) {
      continue;
    }
    mSent[slot.connection].clear();
    openSession(slot);
    slot.relay->onSession();
  }
}

void
FleetModel::restartRelay(std::size_t aSlot)
{
  Slot& slot = mSlots.at(aSlot);
  slot.waiting.clear();
  createRelay(aSlot);
  openSession(slot);
}

void
FleetModel::announceEnd(std::size_t aSlot)
{
  worker(aSlot).announceEnd();
  registerWorker(aSlot);
}

void
FleetModel::endWorker(std::size_t aSlot)
{
  Slot& slot = mSlots.at(aSlot);
  slot.hasLeft = true;
  slot.worker->leave();
  toRelay(slot, [this, aSlot, id = slot.worker->workerId()]() {
    mSlots.at(aSlot).relay->onDeregistration(id);
  });
}

void
FleetModel::stopRelay(std::size_t aSlot)
{
  toRelay(mSlots.at(aSlot), [this, aSlot]() { mSlots.at(aSlot).relay->stop(); });
}

void
FleetModel::crashWorker(std::size_t aSlot)
{
  if (worker(aSlot).isUp()) {
    worker(aSlot).crash();
  }
}

void
FleetModel::setCapacity(std::size_t aSlot, const ResourceAmount& aCapacity)
{
  Slot& slot = mSlots.at(aSlot);
  slot.earlierCapacities.emplace_back(slot.worker->capacity(), mNow);
  slot.worker->setCapacity(aCapacity);
}

void
FleetModel::freezeRelay(std::size_t aSlot, std::int64_t aMs)
{
  mSlots.at(aSlot).frozenUntil = mNow.plusMs(aMs);
}

void
FleetModel::cutRelay(std::size_t aSlot, std::int64_t aMs)
{
  Slot& slot = mSlots.at(aSlot);
  slot.isCut = true;
  slot.cutUntil = std::max(slot.cutUntil, mNow.plusMs(aMs));
}

std::int64_t
FleetModel::startsOf(const std::string& aTask) const
{
  const auto position = mStarts.find(aTask);
  return position == mStarts.end() ? 0 : position->second;
}

std::int64_t
FleetModel::crashesOf(const std::string& aTask) const
{
  const std::optional<TaskId> task = TaskId::parse(aTask);
  return mState.jobs().find(task->jobId)->find(*task)->crashes;
}

bool
FleetModel::isRunning(const std::string& aTask) const
{
  return std::any_of(mSlots.begin(), mSlots.end(), [&aTask](const Slot& aSlot) {
    return aSlot.worker->isUp() && aSlot.worker->runs(aTask);
  });
}

std::size_t
FleetModel::slotOf(const std::string& aTask) const
{
  std::size_t slot = 0;
  while (slot < mSlots.size() && !mSlots[slot].worker->runs(aTask)) {
    slot++;
  }
  return slot;
}

bool
FleetModel::mayBeGivenUp(const std::string& aJobId) const
{
  return std::any_of(mCrashesUnder.begin(), mCrashesUnder.end(), [&aJobId](const auto& aItem) {
    return TaskId::parse(aItem.first)->jobId == aJobId && aItem.second >= kCrashesToGiveUp;
  });
}

void
FleetModel::addViolation(const std::string& aRule, const std::string& aWhat)
{
  mViolations += aRule + ": " + aWhat + "\n";
}

void
FleetModel::checkStart(std::size_t aSlot, const std::string& aTask, std::int64_t aRun)
{
  const Slot& slot = mSlots.at(aSlot);
  const std::string what = aTask + " run " + std::to_string(aRun) + " at " +
                           std::to_string(mNow.ms()) + " on " + slot.worker->workerId();
  mStarts[aTask]++;
  ResourceAmount allowed = slot.worker->capacity();
  for (const auto& [capacity, endedAt] : slot.earlierCapacities) {
    if (mNow.msSince(endedAt) <= kContactMs + kRegistrationMs) {
      allowed = allowed.componentMax(capacity);
    }
  }
  if (!slot.worker->used().fitsIn(allowed)) {
    addViolation("LIMIT", what);
  }
  for (const Slot& other : mSlots) {
    if (&other != &slot && other.worker->isUp() && other.worker->runs(aTask)) {
      addViolation("TWICE", what + ", also on " + other.worker->workerId());
    }
  }
  if (!mDeadlyTasks.contains(aTask)) {
    return;
  }
  if (mCrashesUnder[aTask] >= kBudgetCrashes) {
    mStartsAfterThreeCrashes[aTask]++;
    if (mStartsAfterThreeCrashes[aTask] == kBudgetCrashes) {
      addViolation("BUDGET", what);
    }
  }
}

} // namespace magnoliadrum
