#include "control/RequestHandler.h"

#include "control/Utf8Truncation.h"
#include "state/BuildValue.h"

#include <utility>
#include <variant>

namespace magnoliadrum {

namespace {

/** Maximum lengths of the text fields of OperationFailed. */
constexpr std::size_t kMaxStepBytes = 200;
constexpr std::size_t kMaxFailureDetailBytes = 8000;

FailureCode
failureCodeOf(ErrorCode aCode)
{
  return parseFailureCode(errorCodeName(aCode)).value_or(FailureCode::eUnavailable);
}

} // namespace

void
RequestHandler::fail(const RequestOrigin& aOrigin, const Error& aError)
{
  mContext.mMessageSender.send(
    aOrigin.mConnection,
    buildValue<OperationFailed>({ .requestId = aOrigin.mRequestId,
                                  .code = failureCodeOf(aError.code()),
                                  .step = truncateUtf8(aError.step(), kMaxStepBytes),
                                  .peer = truncateUtf8(aError.peer(), kMaxStepBytes),
                                  .detail = truncateUtf8(aError.detail(), kMaxFailureDetailBytes),
                                  .leaderAddress = mContext.mLog.leaderAddress() }));
}

bool
RequestHandler::checkLeadership(const RequestOrigin& aOrigin)
{
  if (!mContext.mLog.isLeader()) {
    fail(aOrigin,
         Error::create(ErrorCode::eNotLeader,
                       "control.request",
                       mContext.mSettings.processId(),
                       "this replica is not the leader"));
    return false;
  }
  if (!mContext.isLeaderWithLease()) {
    fail(aOrigin,
         Error::create(ErrorCode::eUnavailable,
                       "control.request",
                       mContext.mSettings.processId(),
                       "no majority of the control group responds"));
    return false;
  }
  return true;
}

void
RequestHandler::propose(const RequestOrigin& aOrigin,
                        const Command& aCommand,
                        std::function<void(const Outcome&)> aOnOutcome,
                        std::function<void()> aOnFailure)
{
  if (!checkLeadership(aOrigin)) {
    aOnFailure();
    return;
  }
  mContext.mLog.propose(
    aCommand,
    [this, aOrigin, onOutcome = std::move(aOnOutcome), onFailure = std::move(aOnFailure)](
      const CommandResult& aResult) {
      if (const CommandFailure* failure = std::get_if<CommandFailure>(&aResult)) {
        fail(aOrigin, failure->mError);
        onFailure();
        return;
      }
      const Outcome& outcome = std::get<Outcome>(aResult);
      if (const Error* error = std::get_if<Error>(&outcome)) {
        fail(aOrigin, *error);
        onFailure();
        return;
      }
      onOutcome(outcome);
    });
}

} // namespace magnoliadrum
