#pragma once

#include "control/ControlService.h"
#include "control/InMemoryCommandLog_test.h"
#include "state/state_fixture_test.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace magnoliadrum::fixture {

inline const char* const kRun = "recon/night";

inline AdmitSession
admitExecutor(const std::string& aProcessId)
{
  AdmitSession::Fields fields = admitWorker(aProcessId, "i1").fields();
  TargetDescription::Fields target = fields.target->fields();
  target.targetKind = TargetKind::eExecutor;
  target.entryName = "pickup";
  fields.target = buildValue<TargetDescription>(target);
  return buildValue<AdmitSession>(std::move(fields));
}

inline CatalogueEntry
taskEntry(const std::string& aName, EntryKind aKind)
{
  CatalogueEntry::Fields fields =
    aKind == EntryKind::eStanding ? standingEntry(aName, 1) : batchEntry(aName);
  fields.payload = "from the entry";
  return buildValue<CatalogueEntry>(std::move(fields));
}

/** A control service on an in-memory command log, with a clock that the test advances. */
class ControlServiceFixture : private MessageSender
{
public:
  ControlServiceFixture()
    : mLog(
        mState,
        [this](std::function<void()> aFunction) {
          mPostedFunctions.push_back(std::move(aFunction));
        },
        "127.0.0.1:5000")
    , mService(ControlContext{ mState,
                               mLog,
                               *this,
                               settings(),
                               [this]() { return mNow; },
                               [this]() { return mWallClockMs(); } },
               1)
  {
    mLog.setLeader(true, mNow);
  }

  static ControlSettings settings()
  {
    return buildValue<ControlSettings>(
      { .processId = "control-1",
        .listenAddress = "127.0.0.1:5000",
        .dataCentre = "Tulcea",
        .dataFolder = "unused",
        .electionTimeoutMs = 300,
        .lease = buildValue<LeaseSettings>({ .leaseMs = 1500, .heartbeatMs = 100 }) });
  }

  /** Delivers a message, then applies the resulting commands. */
  void deliver(ConnectionId aConnection, const Message& aMessage)
  {
    mService.onMessage(aConnection, aMessage);
    runPostedFunctions();
  }

  /** Runs the posted functions, including those that they post, until none is left. */
  void runPostedFunctions()
  {
    while (!mPostedFunctions.empty() && !mHoldsPostedFunctions) {
      const auto function = std::move(mPostedFunctions.front());
      mPostedFunctions.pop_front();
      function();
    }
  }

  /** Commits the commands that are held. */
  void commitHeld()
  {
    for (const std::function<void()>& function : std::exchange(mPostedFunctions, {})) {
      function();
    }
  }

  /** Advances the clock in steps of kTickMs and calls tick() after each step. */
  void advance(std::int64_t aMs)
  {
    const MonotonicTime end = mNow.plusMs(aMs);
    while (mNow < end) {
      mNow = std::min(end, mNow.plusMs(ControlService::kTickMs));
      mService.tick();
      runPostedFunctions();
    }
  }

  /** Returns the messages of a type sent on a connection, and discards all messages sent on it. */
  template<typename Type>
  std::vector<Type> takeMessages(ConnectionId aConnection)
  {
    std::vector<Type> found;
    for (const Message& message : std::exchange(mSent[aConnection], {})) {
      if (const Type* body = std::get_if<Type>(&message)) {
        found.push_back(*body);
      }
    }
    return found;
  }

  /** Opens a session. Returns its number, or 0 when it was not granted. */
  std::int64_t open(ConnectionId aConnection, const AdmitSession& aAdmission)
  {
    deliver(aConnection,
            buildValue<SessionOpen>({ .processId = aAdmission.processId(),
                                      .processKind = aAdmission.processKind(),
                                      .incarnation = aAdmission.incarnation(),
                                      .sentAtMs = mNow.ms(),
                                      .target = aAdmission.target(),
                                      .running = aAdmission.running() }));
    for (const Message& message : mSent[aConnection]) {
      if (const SessionGranted* granted = std::get_if<SessionGranted>(&message)) {
        return granted->session();
      }
    }
    return 0;
  }

  std::int64_t openGateway(ConnectionId aConnection, const std::string& aProcessId)
  {
    return open(
      aConnection,
      buildValue<AdmitSession>(
        { .processId = aProcessId, .processKind = ProcessKind::eGateway, .incarnation = "i1" }));
  }

  void heartbeat(ConnectionId aConnection,
                 std::int64_t aSession,
                 const std::string& aProcessId,
                 std::int64_t aCatalogueVersion = 0)
  {
    deliver(aConnection,
            buildValue<SessionHeartbeat>({ .session = aSession,
                                           .processId = aProcessId,
                                           .sentAtMs = mNow.ms(),
                                           .catalogueVersion = aCatalogueVersion }));
  }

  /** Commits the acceptance of a job without the decision at hand-in, as a job of an earlier leader
   * under which the pool had room. */
  void commitJob(const JobDescription& aJob, const std::string& aQueue = "urgent")
  {
    mLog.propose(
      buildValue<SubmitJob>({ .queueName = aQueue, .job = aJob, .acceptedAtMs = mWallClockMs() }),
      [](const CommandResult&) {});
    runPostedFunctions();
  }

  void change(const CatalogueChange& aChange)
  {
    deliver(kOperator, buildValue<ChangeSubmit>({ .requestId = "c", .change = aChange }));
  }

  /** Creates the batch entry 'recon' and submits its run 'recon/night'. */
  void submitRun()
  {
    change(entryChange("recon", 0, taskEntry("recon", EntryKind::eBatch).fields()));
    deliver(kOperator,
            buildValue<TaskSubmit>({ .requestId = "t", .entryName = "recon", .runKey = "night" }));
  }

  void report(ConnectionId aConnection,
              std::int64_t aSession,
              std::int64_t aEpoch,
              TaskState aState,
              const std::string& aTaskId = kRun)
  {
    deliver(aConnection,
            buildValue<TaskReport>(
              { .session = aSession, .taskId = aTaskId, .epoch = aEpoch, .state = aState }));
  }

  const TaskRecord& task(const std::string& aTaskId = kRun) const
  {
    return *mState.tasks().find(aTaskId);
  }

  static constexpr ConnectionId kOperator = 99;

  ControlState mState;
  MonotonicTime mNow = MonotonicTime::fromMs(100000);
  /** The leader's wall clock in ms. */
  std::function<std::int64_t()> mWallClockMs = []() { return std::int64_t{ 60000 }; };
  std::deque<std::function<void()>> mPostedFunctions;
  /** Commands are committed only when commitHeld() is called. */
  bool mHoldsPostedFunctions = false;
  InMemoryCommandLog mLog;
  std::map<ConnectionId, std::vector<Message>> mSent;
  /** No message can be sent, as on a connection that has just ended. */
  bool mRefusesMessages = false;
  std::vector<ConnectionId> mClosed;
  ControlService mService;

private:
  bool send(ConnectionId aConnection, const Message& aMessage) override
  {
    // As MessageConnection does.
    constexpr std::size_t kMaxMessageBytes = std::size_t{ 4 } << 20U;
    if (mRefusesMessages || encodeMessage(aMessage).size() > kMaxMessageBytes) {
      return false;
    }
    mSent[aConnection].push_back(aMessage);
    return true;
  }

  void close(ConnectionId aConnection, const std::string& /*aReason*/) override
  {
    mClosed.push_back(aConnection);
  }
};

} // namespace magnoliadrum::fixture
