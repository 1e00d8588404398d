#include "integration/CapacityProbe.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace magnoliadrum {

namespace {

constexpr int kFewSessions = 100;
constexpr std::int64_t kSettleMs = 3000;
constexpr std::int64_t kMeasureMs = 6000;
constexpr std::int64_t kCallLimitMs = 30000;
constexpr int kCatalogueChanges = 300;
constexpr int kTasks = 5000;
constexpr int kIntents = 1000;
constexpr int kConcurrency = 64;
constexpr double kMsPerSecond = 1000;
constexpr double kBytesPerKb = 1024;

double
toDouble(std::uint64_t aValue)
{
  return static_cast<double>(aValue);
}

DeploymentShape
controlOnly()
{
  DeploymentShape shape = DeploymentShape::guild().withTargets(0, 0);
  shape.mGateways = 0;
  return shape;
}

TargetDescription
syntheticTarget(int aNumber)
{
  const std::string number = std::to_string(aNumber);
  return valueOf(
    TargetDescription::create({ .targetId = "executor-" + number,
                                .targetKind = TargetKind::eExecutor,
                                .entryName = "pickup-confirmation",
                                .agentAddress = "127.0.0.1:" + std::to_string(10000 + aNumber),
                                .dataCentre = "Waco",
                                .rack = "rack-" + std::to_string(aNumber / 3),
                                .slots = 8,
                                .connections = 64 }));
}

} // namespace

CapacityProbe::CapacityProbe(std::unique_ptr<EventLoop> aLoop,
                             std::unique_ptr<Deployment> aDeployment,
                             int aManySessions)
  : mLoop(std::move(aLoop))
  , mDeployment(std::move(aDeployment))
  , mManySessions(aManySessions)
{
}

CapacityProbe::~CapacityProbe() = default;

Result<std::unique_ptr<CapacityProbe>>
CapacityProbe::create(const std::string& aProgramFolder,
                      const std::string& aRunFolder,
                      int aSessions)
{
  DeploymentOptions options;
  options.mProgramFolder = aProgramFolder;
  options.mRunFolder = aRunFolder;
  options.mShape = controlOnly();
  Result<std::unique_ptr<Deployment>> deployment = Deployment::create(options);
  if (!isOk(deployment)) {
    return errorOf(deployment);
  }
  const Result<Done> started = valueOf(deployment)->startAll();
  if (!isOk(started)) {
    return errorOf(started);
  }
  Result<std::unique_ptr<EventLoop>> loop = EventLoop::create();
  if (!isOk(loop)) {
    return errorOf(loop);
  }
  return std::unique_ptr<CapacityProbe>(
    new CapacityProbe(takeValue(std::move(loop)), takeValue(std::move(deployment)), aSessions));
}

void
CapacityProbe::runMs(std::int64_t aMs)
{
  const EventHandlePointer timer =
    mLoop->runAt(mLoop->now().plusMs(aMs), [this]() { mLoop->stop(); });
  mLoop->run();
}

std::string
CapacityProbe::nextRequestId()
{
  return "probe-" + std::to_string(mNextRequest++);
}

void
CapacityProbe::addSlope(std::string aName, std::string aUnit, double aValue)
{
  mSlopes.push_back({ std::move(aName), std::move(aUnit), aValue });
}

Result<Done>
CapacityProbe::addSessions(int aCount)
{
  for (int added = 0; added < aCount; added++) {
    const int number = static_cast<int>(mSessions.size());
    std::vector<std::string> addresses;
    for (const std::string& name : mDeployment->controlNames()) {
      addresses.push_back(mDeployment->controlAddress(name));
    }
    ControlLinkHandlers handlers;
    handlers.fillOpen = [number](SessionOpen::Fields& aFields) {
      aFields.target = syntheticTarget(number);
      return true;
    };
    handlers.fillHeartbeat = [](SessionHeartbeat::Fields& aFields) {
      aFields.usage = valueOf(TargetUsage::create({ .outstanding = 3 }));
    };
    const DeploymentTiming timing;
    mSessions.push_back(ControlLink::create(*mLoop,
                                            { ProcessKind::eAgent,
                                              "executor-" + std::to_string(number),
                                              newIncarnation(),
                                              addresses,
                                              timing.mLeaseMs,
                                              timing.mHeartbeatMs },
                                            handlers));
    mSessions.back()->start();
    runMs(1);
  }
  const Deadline deadline = mLoop->now().plusMs(kCallLimitMs);
  const auto holdsLease = [this](const std::unique_ptr<ControlLink>& aLink) {
    return aLink->holdsLease(mLoop->now());
  };
  while (!std::all_of(mSessions.begin(), mSessions.end(), holdsLease)) {
    if (mLoop->now() > deadline) {
      return Error::create(ErrorCode::eTimeout, "open sessions", "control", "no lease in time");
    }
    runMs(50);
  }
  return Done{};
}

Result<Done>
CapacityProbe::findLeader()
{
  std::optional<Result<Message>> answer;
  mSessions.front()->call(valueOf(StatusQuery::create({ .requestId = nextRequestId() })),
                          mLoop->now().plusMs(kCallLimitMs),
                          [&](Result<Message> aResult) {
                            answer = std::move(aResult);
                            mLoop->stop();
                          });
  mLoop->run();
  if (!isOk(*answer)) {
    return errorOf(*answer);
  }
  const ClusterStatus* status = std::get_if<ClusterStatus>(&valueOf(*answer));
  for (const ReplicaStatus& replica : status->replicas()) {
    for (const std::string& name : mDeployment->controlNames()) {
      if (replica.replicaId() == status->leaderId() &&
          replica.address() == mDeployment->controlAddress(name)) {
        mLeader = name;
      }
    }
  }
  if (mLeader.empty()) {
    return Error::create(ErrorCode::eNotFound, "find leader", status->leaderId(), "unknown id");
  }
  return Done{};
}

Result<ProcessUsage>
CapacityProbe::leaderUsage()
{
  return ProcessUsage::read(mDeployment->process(mLeader).processId());
}

Result<std::vector<Slope>>
CapacityProbe::measure()
{
  using Step = Result<Done> (CapacityProbe::*)();
  const std::vector<Step> steps = { &CapacityProbe::measureSessions,
                                    &CapacityProbe::measureCatalogue,
                                    &CapacityProbe::measureTasks,
                                    &CapacityProbe::measureIntents };
  for (const Step step : steps) {
    const Result<Done> done = (this->*step)();
    if (!isOk(done)) {
      return errorOf(done);
    }
  }
  return mSlopes;
}

Result<Done>
CapacityProbe::measureSessions()
{
  std::vector<double> cpuUs;
  std::vector<double> memory;
  std::vector<double> counts;
  for (const int target : { kFewSessions, mManySessions }) {
    const Result<Done> added = addSessions(target - static_cast<int>(mSessions.size()));
    if (!isOk(added)) {
      return added;
    }
    const Result<Done> found = findLeader();
    if (!isOk(found)) {
      return found;
    }
    runMs(kSettleMs);
    const ProcessUsage before = valueOf(leaderUsage());
    const std::uint64_t sent = mSessions.front()->bytesSent();
    const std::uint64_t received = mSessions.front()->bytesReceived();
    runMs(kMeasureMs);
    const ProcessUsage after = valueOf(leaderUsage());
    const double seconds = kMeasureMs / kMsPerSecond;
    counts.push_back(target);
    cpuUs.push_back(static_cast<double>(after.mCpuUs - before.mCpuUs) / seconds);
    memory.push_back(static_cast<double>(after.mResidentBytes));
    if (target == mManySessions) {
      const double up = toDouble(mSessions.front()->bytesSent() - sent);
      const double down = toDouble(mSessions.front()->bytesReceived() - received);
      addSlope("agent to control, idle", "bytes/s per session", up / seconds);
      addSlope("control to agent, idle", "bytes/s per session", down / seconds);
    }
  }
  const double span = counts[1] - counts[0];
  const DeploymentTiming timing;
  const double heartbeats = kMsPerSecond / static_cast<double>(timing.mHeartbeatMs);
  addSlope("leader, heartbeat", "us of processor time", (cpuUs[1] - cpuUs[0]) / span / heartbeats);
  addSlope("leader, session", "KB of memory", (memory[1] - memory[0]) / span / kBytesPerKb);
  return Done{};
}

Message
CapacityProbe::entryChange(const std::string& aName, bool aIsBatch)
{
  const Resources resources = valueOf(Resources::create({ .cpuMilli = 1000, .memoryMb = 1000 }));
  const CatalogueEntry entry = valueOf(CatalogueEntry::create(
    { .name = aName,
      .owner = "owner-" + aName,
      .kind = aIsBatch ? EntryKind::eBatch : EntryKind::eService,
      .workClass = aIsBatch ? WorkClass::eBatch : WorkClass::eLatencyCritical,
      .resources = resources,
      .dataCentres = { "Waco", "Temple", "Killeen" } }));
  const CatalogueChange change = valueOf(CatalogueChange::create(
    { .changeId = "change-" + aName, .recordName = aName, .expectedVersion = 0, .entry = entry }));
  return valueOf(ChangeSubmit::create({ .requestId = nextRequestId(), .change = change }));
}

Result<Done>
CapacityProbe::callAll(const std::vector<Message>& aMessages, int aConcurrency)
{
  std::size_t next = 0;
  std::size_t answered = 0;
  std::optional<Error> failure;
  std::function<void()> sendNext = [&]() {
    if (next == aMessages.size() || failure) {
      return;
    }
    const Message& message = aMessages[next++];
    mSessions.front()->call(
      message, mLoop->now().plusMs(kCallLimitMs), [&](const Result<Message>& aResult) {
        answered++;
        if (!isOk(aResult)) {
          failure = errorOf(aResult);
        }
        if (failure || answered == aMessages.size()) {
          mLoop->stop();
          return;
        }
        sendNext();
      });
  };
  for (int started = 0; started < aConcurrency; started++) {
    sendNext();
  }
  mLoop->run();
  if (failure) {
    return *failure;
  }
  return Done{};
}

Result<Done>
CapacityProbe::measureCatalogue()
{
  std::vector<Message> changes;
  for (int number = 0; number < kCatalogueChanges; number++) {
    changes.push_back(entryChange("entry-" + std::to_string(number), false));
  }
  const ProcessUsage before = valueOf(leaderUsage());
  const std::uint64_t received = mSessions.back()->bytesReceived();
  const MonotonicTime start = mLoop->now();
  const Result<Done> done = callAll(changes, 1);
  if (!isOk(done)) {
    return done;
  }
  const double elapsedMs = static_cast<double>(mLoop->now().msSince(start));
  runMs(kSettleMs);
  const ProcessUsage after = valueOf(leaderUsage());
  const double count = kCatalogueChanges;
  const double sessions = static_cast<double>(mSessions.size());
  addSlope("change, one at a time", "ms until committed", elapsedMs / count);
  addSlope("leader, change sent to one session",
           "us of processor time",
           static_cast<double>(after.mCpuUs - before.mCpuUs) / count / sessions);
  addSlope("change sent to one session",
           "bytes",
           toDouble(mSessions.back()->bytesReceived() - received) / count);
  addSlope("leader, catalogue entry",
           "KB of memory",
           static_cast<double>(after.mResidentBytes - before.mResidentBytes) / count / kBytesPerKb);
  return Done{};
}

Result<Done>
CapacityProbe::measureTasks()
{
  const Result<Done> added = callAll({ entryChange("probe-batch", true) }, 1);
  if (!isOk(added)) {
    return added;
  }
  std::vector<Message> submissions;
  for (int number = 0; number < kTasks; number++) {
    submissions.push_back(
      valueOf(TaskSubmit::create({ .requestId = nextRequestId(),
                                   .entryName = "probe-batch",
                                   .runKey = "run-" + std::to_string(number) })));
  }
  const ProcessUsage before = valueOf(leaderUsage());
  const MonotonicTime start = mLoop->now();
  const Result<Done> done = callAll(submissions, kConcurrency);
  if (!isOk(done)) {
    return done;
  }
  const double elapsedMs = static_cast<double>(mLoop->now().msSince(start));
  const ProcessUsage after = valueOf(leaderUsage());
  addSlope("submissions, 64 at once", "per second", kTasks / elapsedMs * kMsPerSecond);
  addSlope("leader, submission with its log entry",
           "us of processor time",
           static_cast<double>(after.mCpuUs - before.mCpuUs) / kTasks);
  addSlope("leader, waiting task",
           "KB of memory",
           static_cast<double>(after.mResidentBytes - before.mResidentBytes) / kTasks /
             kBytesPerKb);
  addSlope("leader, log entry",
           "bytes written",
           static_cast<double>(after.mWrittenBytes - before.mWrittenBytes) / kTasks);
  return Done{};
}

Result<Done>
CapacityProbe::measureIntents()
{
  std::vector<Message> begins;
  std::vector<Message> ends;
  const HttpAnswer answer = valueOf(HttpAnswer::create({ .status = 200, .body = "paid" }));
  for (int number = 0; number < kIntents; number++) {
    const std::string key = "key-" + std::to_string(number);
    begins.push_back(valueOf(IntentBegin::create({ .requestId = nextRequestId(),
                                                   .key = key,
                                                   .entryName = "entry-1",
                                                   .attempt = key,
                                                   .requestDigest = "digest" })));
    ends.push_back(valueOf(IntentEnd::create({ .requestId = nextRequestId(),
                                               .key = key,
                                               .entryName = "entry-1",
                                               .attempt = key,
                                               .outcome = IntentOutcome::eDone,
                                               .answer = answer })));
  }
  const ProcessUsage before = valueOf(leaderUsage());
  const MonotonicTime start = mLoop->now();
  const Result<Done> begun = callAll(begins, 1);
  const double aloneMs = static_cast<double>(mLoop->now().msSince(start));
  const MonotonicTime middle = mLoop->now();
  const Result<Done> ended = isOk(begun) ? callAll(ends, kConcurrency) : begun;
  if (!isOk(ended)) {
    return ended;
  }
  const double togetherMs = static_cast<double>(mLoop->now().msSince(middle));
  const ProcessUsage after = valueOf(leaderUsage());
  addSlope("intent, one at a time", "ms until committed", aloneMs / kIntents);
  addSlope("intents, 64 at once", "per second", kIntents / togetherMs * kMsPerSecond);
  addSlope("leader, intent begun and ended",
           "us of processor time",
           static_cast<double>(after.mCpuUs - before.mCpuUs) / kIntents);
  return Done{};
}

} // namespace magnoliadrum
