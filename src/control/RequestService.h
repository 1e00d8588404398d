#pragma once

#include "control/RequestHandler.h"
#include "control/SessionService.h"
#include "control/TaskService.h"

#include <functional>
#include <string>

namespace magnoliadrum {

/**
 * Answers requests with a requestId about catalogue changes, tasks, intents, target drains, group
 * membership, status and reports.
 *
 * Every proposal is idempotent under the ids that the sender chose, so the sender may repeat an
 * unanswered request to the next leader.
 */
class RequestService : private RequestHandler
{
public:
  RequestService(ControlContext& aContext, SessionService& aSessions, TaskService& aTasks);

  void onRequest(ConnectionId aConnection, const ChangeSubmit& aRequest);
  void onRequest(ConnectionId aConnection, const ChangeStatusQuery& aRequest);
  void onRequest(ConnectionId aConnection, const CatalogueQuery& aRequest);
  void onRequest(ConnectionId aConnection, const TaskSubmit& aRequest);
  void onRequest(ConnectionId aConnection, const TaskCancelRequest& aRequest);
  void onRequest(ConnectionId aConnection, const TaskQuery& aRequest);
  void onRequest(ConnectionId aConnection, const TargetDrainRequest& aRequest);
  void onRequest(ConnectionId aConnection, const StatusQuery& aRequest);
  void onRequest(ConnectionId aConnection, const MembershipRequest& aRequest);
  void onRequest(ConnectionId aConnection, const ReportQuery& aRequest);
  void onRequest(ConnectionId aConnection, const IntentBegin& aRequest);
  void onRequest(ConnectionId aConnection, const IntentEnd& aRequest);

private:
  /** Sends an answer, or a failure when the answer exceeds kMaxMessageBytes. */
  void answerQuery(const RequestOrigin& aOrigin, const Message& aAnswer);

  void proposeOperation(const RequestOrigin& aOrigin, const Command& aCommand);
  void proposeIntent(const RequestOrigin& aOrigin, const Command& aCommand);
  std::vector<TaskRecord> listTasks(const TaskQuery& aRequest) const;

  SessionService& mSessions;
  TaskService& mTasks;
};

} // namespace magnoliadrum
