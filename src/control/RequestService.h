#pragma once

#include "control/ControlContext.h"
#include "control/SessionService.h"
#include "control/TaskService.h"

#include <functional>
#include <string>

namespace magnoliadrum {

/**
 * Answers the requests that carry a requestId: changes, tasks, intents, drains, membership and
 * queries.
 *
 * Every proposal is idempotent under the ids that the sender chose, so a request without an answer
 * may be sent again to the next leader.
 */
class RequestService
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
  /** Where an answer goes. */
  struct Asker
  {
    ConnectionId mConnection = 0;
    std::string mRequestId;
  };

  /** Answers with a failure and returns false when this replica cannot answer. */
  bool canAnswer(const Asker& aAsker);
  void fail(const Asker& aAsker, const Error& aError);

  /** Sends an answer, or a failure when it is larger than a message may be. */
  void answerQuery(const Asker& aAsker, const Message& aAnswer);

  /** Proposes a command; errors are answered here, any other outcome by aOnOutcome. */
  void propose(const Asker& aAsker,
               const Command& aCommand,
               std::function<void(const Outcome&)> aOnOutcome);
  void proposeOperation(const Asker& aAsker, const Command& aCommand);
  void proposeIntent(const Asker& aAsker, const Command& aCommand);
  std::vector<TaskRecord> listTasks(const TaskQuery& aRequest) const;

  ControlContext& mContext;
  SessionService& mSessions;
  TaskService& mTasks;
};

} // namespace magnoliadrum
