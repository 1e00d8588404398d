#include "control/RequestService.h"

#include "control/Utf8Truncation.h"
#include "faults/faults.h"
#include "state/BuildValue.h"
#include "transport/MessageConnection.h"

#include <utility>
#include <variant>

namespace magnoliadrum {

namespace {

/** Approximate size limit of a task listing, below kMaxMessageBytes. */
constexpr std::size_t kMaxListingBytes = std::size_t{ 3 } * 1024 * 1024;
/** Estimated size of the fixed-size fields of a listed task, rounded up. */
constexpr std::size_t kTaskOverheadBytes = 512;

TaskRecord
withoutPayload(const TaskRecord& aTask)
{
  TaskRecord::Fields fields = aTask.fields();
  fields.payload.clear();
  return buildValue<TaskRecord>(std::move(fields));
}

/** Collects tasks without their payloads, up to the size limit of a listing. */
class TaskListBuilder
{
public:
  void add(const TaskRecord& aTask)
  {
    mBytes += kTaskOverheadBytes + aTask.taskId().size() + aTask.detail().size();
    if (mBytes <= kMaxListingBytes) {
      mTasks.push_back(withoutPayload(aTask));
    }
  }

  std::vector<TaskRecord> take() { return std::move(mTasks); }

private:
  std::vector<TaskRecord> mTasks;
  std::size_t mBytes = 0;
};

} // namespace

RequestService::RequestService(ControlContext& aContext,
                               SessionService& aSessions,
                               TaskService& aTasks)
  : RequestHandler(aContext)
  , mSessions(aSessions)
  , mTasks(aTasks)
{
}

void
RequestService::answerQuery(const RequestOrigin& aOrigin, const Message& aAnswer)
{
  if (encodeMessage(aAnswer).size() > kMaxMessageBytes) {
    fail(aOrigin,
         Error::create(ErrorCode::eRefused,
                       "control.query",
                       mContext.mSettings.processId(),
                       "the answer exceeds the maximum message size; query a single name"));
    return;
  }
  mContext.mMessageSender.send(aOrigin.mConnection, aAnswer);
}

void
RequestService::proposeOperation(const RequestOrigin& aOrigin, const Command& aCommand)
{
  propose(aOrigin, aCommand, [this, aOrigin](const Outcome& /*aOutcome*/) {
    mContext.mMessageSender.send(aOrigin.mConnection,
                                 buildValue<OperationDone>({ .requestId = aOrigin.mRequestId }));
  });
}

void
RequestService::proposeIntent(const RequestOrigin& aOrigin, const Command& aCommand)
{
  propose(aOrigin, aCommand, [this, aOrigin](const Outcome& aOutcome) {
    const IntentAnswer& answer = std::get<IntentAnswer>(aOutcome);
    mContext.mMessageSender.send(aOrigin.mConnection,
                                 buildValue<IntentStatus>({ .requestId = aOrigin.mRequestId,
                                                            .granted = answer.mGranted,
                                                            .digestMatches = answer.mDigestMatches,
                                                            .intent = answer.mIntent }));
  });
}

void
RequestService::onRequest(ConnectionId aConnection, const ChangeSubmit& aRequest)
{
  faultPoint("change.propose");
  const RequestOrigin origin{ aConnection, aRequest.requestId() };
  if (!checkLeadership(origin)) {
    return;
  }
  const CatalogueChange& change = aRequest.change();
  const Catalogue& catalogue = mContext.mState.catalogue();
  const auto answer = [this, origin](const ChangeAnswer& aAnswer) {
    mContext.mMessageSender.send(
      origin.mConnection,
      buildValue<ChangeResult>({ .requestId = origin.mRequestId, .answer = aAnswer }));
  };
  if (const ChangeAnswer* stored = catalogue.findAnswer(change.changeId())) {
    answer(*stored);
    return;
  }
  std::vector<std::string> faults = catalogue.findFaults(change);
  if (!faults.empty()) {
    const CatalogueRecord* record = catalogue.findRecord(change.recordName());
    answer(buildValue<ChangeAnswer>({ .changeId = change.changeId(),
                                      .outcome = ChangeOutcome::eInvalid,
                                      .version = record != nullptr ? record->version() : 0,
                                      .catalogueVersion = catalogue.version(),
                                      .faults = std::move(faults) }));
    return;
  }
  propose(origin, buildValue<ApplyChange>({ .change = change }), [answer](const Outcome& aOutcome) {
    answer(std::get<ChangeAnswer>(aOutcome));
  });
}

void
RequestService::onRequest(ConnectionId aConnection, const ChangeStatusQuery& aRequest)
{
  const RequestOrigin origin{ aConnection, aRequest.requestId() };
  if (!checkLeadership(origin)) {
    return;
  }
  std::vector<ProcessVersion> behind =
    mSessions.catalogueVersions().sessionsBehind(aRequest.catalogueVersion());
  const bool committed = aRequest.catalogueVersion() <= mContext.mState.catalogue().version();
  answerQuery(origin,
              buildValue<ChangeStatus>({ .requestId = aRequest.requestId(),
                                         .inForce = committed && behind.empty(),
                                         .behind = std::move(behind) }));
}

void
RequestService::onRequest(ConnectionId aConnection, const CatalogueQuery& aRequest)
{
  const RequestOrigin origin{ aConnection, aRequest.requestId() };
  if (!checkLeadership(origin)) {
    return;
  }
  const Catalogue& catalogue = mContext.mState.catalogue();
  CatalogueListing::Fields listing{ .requestId = aRequest.requestId(),
                                    .catalogueVersion = catalogue.version() };
  for (const auto& [name, record] : catalogue.records()) {
    if (aRequest.recordName().empty() || aRequest.recordName() == name) {
      listing.records.push_back(record);
    }
  }
  answerQuery(origin, buildValue<CatalogueListing>(std::move(listing)));
}

void
RequestService::onRequest(ConnectionId aConnection, const TaskSubmit& aRequest)
{
  const RequestOrigin origin{ aConnection, aRequest.requestId() };
  const auto command =
    buildValue<CreateTask>({ .taskId = batchTaskId(aRequest.entryName(), aRequest.runKey()),
                             .entryName = aRequest.entryName(),
                             .payload = aRequest.payload(),
                             .submittedAtMs = mContext.mWallClockMs() });
  propose(origin, command, [this, origin](const Outcome& aOutcome) {
    const TaskCreated& created = std::get<TaskCreated>(aOutcome);
    mContext.mMessageSender.send(
      origin.mConnection,
      buildValue<TaskSubmitted>(
        { .requestId = origin.mRequestId, .task = created.mTask, .created = created.mCreated }));
  });
}

void
RequestService::onRequest(ConnectionId aConnection, const TaskCancelRequest& aRequest)
{
  proposeOperation(
    { aConnection, aRequest.requestId() },
    buildValue<CancelTask>({ .taskId = aRequest.taskId(), .detail = "cancelled by the operator" }));
}

std::vector<TaskRecord>
RequestService::listTasks(const TaskQuery& aRequest) const
{
  const TaskIndex& tasks = mContext.mState.tasks();
  if (!aRequest.taskId().empty()) {
    const TaskRecord* task = tasks.find(aRequest.taskId());
    return task != nullptr ? std::vector<TaskRecord>{ *task } : std::vector<TaskRecord>();
  }
  TaskListBuilder list;
  for (const bool terminal : { false, true }) {
    for (const auto& [taskId, task] : tasks.all()) {
      const bool matches = aRequest.entryName().empty() || aRequest.entryName() == task.entryName();
      if (matches && isTerminal(task.state()) == terminal) {
        list.add(task);
      }
    }
  }
  return list.take();
}

void
RequestService::onRequest(ConnectionId aConnection, const TaskQuery& aRequest)
{
  const RequestOrigin origin{ aConnection, aRequest.requestId() };
  if (!checkLeadership(origin)) {
    return;
  }
  answerQuery(origin,
              buildValue<TaskListing>({ .requestId = aRequest.requestId(),
                                        .tasks = listTasks(aRequest),
                                        .silent = mTasks.silentTasks() }));
}

void
RequestService::onRequest(ConnectionId aConnection, const TargetDrainRequest& aRequest)
{
  proposeOperation(
    { aConnection, aRequest.requestId() },
    buildValue<DrainTarget>({ .targetId = aRequest.targetId(), .draining = aRequest.draining() }));
}

void
RequestService::onRequest(ConnectionId aConnection, const StatusQuery& aRequest)
{
  const RequestOrigin origin{ aConnection, aRequest.requestId() };
  if (!checkLeadership(origin)) {
    return;
  }
  ClusterStatus::Fields status{ .requestId = aRequest.requestId(),
                                .leaderId = mContext.mLog.leaderId(),
                                .term = mContext.mLog.term(),
                                .commitIndex = mContext.mLog.commitIndex(),
                                .catalogueVersion = mContext.mState.catalogue().version(),
                                .replicas = mContext.mLog.replicas() };
  for (const auto& [number, live] : mSessions.liveSessions()) {
    const SessionRecord* record = mContext.mState.sessions().find(number);
    if (record == nullptr) {
      continue;
    }
    SessionStatus::Fields session{ .record = *record,
                                   .catalogueVersion =
                                     mSessions.catalogueVersions().appliedVersion(number),
                                   .leaving = live.mLeaving };
    if (live.mUsageAt) {
      session.usage = live.mUsage;
    }
    status.sessions.push_back(buildValue<SessionStatus>(std::move(session)));
  }
  answerQuery(origin, buildValue<ClusterStatus>(std::move(status)));
}

void
RequestService::onRequest(ConnectionId aConnection, const MembershipRequest& aRequest)
{
  const RequestOrigin origin{ aConnection, aRequest.requestId() };
  if (!checkLeadership(origin)) {
    return;
  }
  mContext.mLog.changeMembership(aRequest, [this, origin](const Result<Done>& aResult) {
    if (!isOk(aResult)) {
      fail(origin, errorOf(aResult));
      return;
    }
    mContext.mMessageSender.send(origin.mConnection,
                                 buildValue<OperationDone>({ .requestId = origin.mRequestId }));
  });
}

void
RequestService::onRequest(ConnectionId aConnection, const ReportQuery& aRequest)
{
  const RequestOrigin origin{ aConnection, aRequest.requestId() };
  if (!checkLeadership(origin)) {
    return;
  }
  ReportRows::Fields report{ .requestId = aRequest.requestId(), .nowMs = mContext.mWallClockMs() };
  const auto matches = [&aRequest](const std::string& aName) {
    return aRequest.entryName().empty() || aRequest.entryName() == aName;
  };
  for (const auto& [name, record] : mContext.mState.catalogue().records()) {
    if (record.entry() && matches(name)) {
      report.entries.push_back(*record.entry());
    }
  }
  report.rows = mContext.mState.serviceLevel().rows(aRequest.entryName());
  TaskListBuilder list;
  for (const auto& [taskId, task] : mContext.mState.tasks().all()) {
    if (!isTerminal(task.state()) && matches(task.entryName())) {
      list.add(task);
    }
  }
  report.tasks = list.take();
  report.silent = mTasks.silentTasks();
  answerQuery(origin, buildValue<ReportRows>(std::move(report)));
}

void
RequestService::onRequest(ConnectionId aConnection, const IntentBegin& aRequest)
{
  faultPoint("intent.open");
  const IntentRecord intent = buildValue<IntentRecord>({ .key = aRequest.key(),
                                                         .entryName = aRequest.entryName(),
                                                         .requestDigest = aRequest.requestDigest(),
                                                         .attempt = aRequest.attempt(),
                                                         .outcome = IntentOutcome::eOpen,
                                                         .openedAtMs = mContext.mWallClockMs() });
  proposeIntent({ aConnection, aRequest.requestId() },
                buildValue<OpenIntent>({ .intent = intent }));
}

void
RequestService::onRequest(ConnectionId aConnection, const IntentEnd& aRequest)
{
  faultPoint("intent.settle");
  proposeIntent({ aConnection, aRequest.requestId() },
                buildValue<SettleIntent>({ .key = aRequest.key(),
                                           .entryName = aRequest.entryName(),
                                           .attempt = aRequest.attempt(),
                                           .outcome = aRequest.outcome(),
                                           .answer = aRequest.answer() }));
}

} // namespace magnoliadrum
