#pragma once

#include "control/control_fixture_test.h"
#include "fleetmodel/ModelWorker.h"
#include "relay/relay.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace magnoliadrum {

/**
 * A control service, relays and model workers in virtual time. Records violations of the users'
 * rules LIMIT, BUDGET and TWICE from what the workers see, as the users' bench does.
 */
class FleetModel : public fixture::ControlServiceFixture
{
public:
  /** Bounds in ms that the users state for the small deployments (ContactMs, HeartbeatMs). */
  static constexpr std::int64_t kContactMs = 3000;
  static constexpr std::int64_t kRegistrationMs = 1500;
  /** Time in ms after which a crashed worker is back. */
  static constexpr std::int64_t kRestartMs = 3000;
  static constexpr std::int64_t kStepMs = 10;
  /** The pool of all workers and queues at the start, and others. */
  static constexpr const char* kFirstPool = "desk";
  static constexpr const char* kOtherPool = "annex";
  static constexpr const char* kThirdPool = "attic";

  /** aDeviations are those of all workers. */
  FleetModel(std::size_t aWorkers,
             const ResourceAmount& aCapacity,
             ModelWorkerDeviations aDeviations = {});
  ~FleetModel();

  FleetModel(const FleetModel&) = delete;
  FleetModel& operator=(const FleetModel&) = delete;

  void submit(const JobDescription& aJob, const std::string& aQueue = "urgent");
  /** Takes the answers to submit() and cancel() since the last call. */
  std::vector<JobReply> takeReplies();
  /** The job was accepted before, see commitJob(). */
  void addAccepted(const JobDescription& aJob);

  /** From now on the leader's wall clock runs, commits take kStepMs, and its processor takes time
   * to examine a worker for a task: what arrives meanwhile waits, and what it has sent leaves
   * afterwards. */
  void modelBusyLeader(std::int64_t aMicrosPerExaminedWorker);

  /** Every worker that begins a run of the task crashes after aDelayMs. */
  void makeDeadly(const std::string& aTask, std::int64_t aDelayMs = kStepMs);

  /** Advances the virtual time. */
  void run(std::int64_t aMs);

  /** Sets the pools of the queues "urgent" and "tally" in the next version of the catalogue. A
   * queue without a pool is removed. */
  void setQueuePools(const std::string& aUrgentPool, const std::string& aTallyPool);
  /** The worker crashes, and its successor belongs to the pool. */
  void moveWorker(std::size_t aSlot, const std::string& aPool);

  void changeLeader();
  /** The leader loses its leadership; nobody leads until electLeader(). */
  void loseLeader();
  void electLeader();
  void restartRelay(std::size_t aSlot);
  /** The worker announces its end; after endWorker() no other one comes. */
  void announceEnd(std::size_t aSlot);
  void endWorker(std::size_t aSlot);
  /** The relay gets SIGTERM, and its machine is not used again. */
  void stopRelay(std::size_t aSlot);
  void crashWorker(std::size_t aSlot);
  void setCapacity(std::size_t aSlot, const ResourceAmount& aCapacity);
  /** The relay's machine stands still for a time: it handles nothing, and messages and
   * registrations wait for it. */
  void freezeRelay(std::size_t aSlot, std::int64_t aMs);
  /** Nothing passes between the relay and the leader for a time, and the relay runs on. */
  void cutRelay(std::size_t aSlot, std::int64_t aMs);
  ModelWorker& worker(std::size_t aSlot) { return *mSlots.at(aSlot).worker; }
  std::size_t slots() const { return mSlots.size(); }

  bool isKnown(const std::string& aJobId) const { return mState.jobs().find(aJobId) != nullptr; }
  void cancel(const std::string& aJobId, const std::string& aQueue = "urgent");
  JobState stateOf(const std::string& aJobId) const { return mState.jobs().find(aJobId)->state(); }
  std::int64_t startsOf(const std::string& aTask) const;
  /** Number of crashes that count against the task. */
  std::int64_t crashesOf(const std::string& aTask) const;
  /** Whether a worker that is up runs the task. */
  bool isRunning(const std::string& aTask) const;
  /** The slot whose worker runs the task; slots() if none does. */
  std::size_t slotOf(const std::string& aTask) const;
  /** Whether two workers have crashed under a task of the job, so that it may be given up. */
  bool mayBeGivenUp(const std::string& aJobId) const;
  /** The violated rules, one a line. */
  const std::string& violations() const { return mViolations; }

private:
  struct Slot
  {
    ConnectionId connection = 0;
    std::string processId;
    std::string poolName = kFirstPool;
    std::int64_t session = 0;
    std::unique_ptr<WorkerRelay> relay;
    std::shared_ptr<ModelWorker> worker;
    std::int64_t registrations = 0;
    MonotonicTime registeredAt;
    MonotonicTime restartAt;
    MonotonicTime frozenUntil;
    MonotonicTime cutUntil;
    bool isCut = false;
    /** The worker has left for good. */
    bool hasLeft = false;
    bool isRelayStopped = false;
    /** What the relay gets when it is no longer frozen, in order. */
    std::vector<std::function<void()>> waiting;
    /** Earlier capacities of the incarnation and when each ended. */
    std::vector<std::pair<ResourceAmount, MonotonicTime>> earlierCapacities;
  };

  /** The description of a job's step; requires that the job was submitted. */
  const JobStep& stepOf(const std::string& aTask) const;
  void openSession(Slot& aSlot);
  /** A relay whose session has ended while its machine stood still opens a new one. */
  void reopenExpiredSession(Slot& aSlot);
  void createRelay(std::size_t aSlot);
  void createWorker(std::size_t aSlot);
  void toRelay(Slot& aSlot, std::function<void()> aFunction);
  /** Delivers a message to the leader, once that is idle. */
  void toLeader(ConnectionId aConnection, const Message& aMessage);
  void deliverWaiting();
  void tickLeader();
  bool isLeaderBusy() const { return mNow < mLeaderBusyUntil; }
  /** Counts the processor time of what the leader has done since the last call. */
  void chargeLeader();
  void registerWorker(std::size_t aSlot);
  void step();
  void stepSlot(std::size_t aSlot);
  void addViolation(const std::string& aRule, const std::string& aWhat);
  void checkStart(std::size_t aSlot, const std::string& aTask, std::int64_t aRun);
  void runLater(std::int64_t aMs, std::function<void()> aFunction);

  ResourceAmount mCapacity;
  ModelWorkerDeviations mDeviations;
  std::int64_t mCatalogueVersion = 1;
  std::vector<Slot> mSlots;
  std::int64_t mIncarnations = 0;
  std::int64_t mMicrosPerExaminedWorker = 0;
  std::int64_t mChargedWorkers = 0;
  /** Processor time of the leader that is less than a millisecond. */
  std::int64_t mUnchargedMicros = 0;
  MonotonicTime mLeaderBusyUntil;
  bool mIsTickDue = false;
  std::deque<std::pair<ConnectionId, Message>> mLeaderInbox;
  std::multimap<std::int64_t, std::function<void()>> mTimers;
  /** All incarnations, because calls that are still in progress refer to them. */
  std::vector<std::shared_ptr<ModelWorker>> mWorkers;
  std::map<std::string, JobDescription> mJobs;
  std::map<std::string, std::int64_t> mDeadlyTasks;
  std::map<std::string, std::int64_t> mStarts;
  /** Number of workers that crashed while they ran the task. */
  std::map<std::string, std::int64_t> mCrashesUnder;
  std::map<std::string, std::int64_t> mStartsAfterThreeCrashes;
  std::string mViolations;
};

} // namespace magnoliadrum
