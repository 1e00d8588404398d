#include "control/RequestAnswerer.h"

#include "control/TextBounds.h"
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
RequestAnswerer::fail(const Asker& aAsker, const Error& aError)
{
  mContext.mOutlet.send(
    aAsker.mConnection,
    buildValue<OperationFailed>({ .requestId = aAsker.mRequestId,
                                  .code = failureCodeOf(aError.code()),
                                  .step = shortenText(aError.step(), kMaxStepBytes),
                                  .peer = shortenText(aError.peer(), kMaxStepBytes),
                                  .detail = shortenText(aError.detail(), kMaxFailureDetailBytes),
                                  .leaderAddress = mContext.mLog.leaderAddress() }));
}

bool
RequestAnswerer::canAnswer(const Asker& aAsker)
{
  if (!mContext.mLog.isLeader()) {
    fail(aAsker,
         Error::create(ErrorCode::eNotLeader,
                       "control.request",
                       mContext.mSettings.processId(),
                       "this replica is not the leader"));
    return false;
  }
  if (!mContext.mayAnswer()) {
    fail(aAsker,
         Error::create(ErrorCode::eUnavailable,
                       "control.request",
                       mContext.mSettings.processId(),
                       "no majority of the control group responds"));
    return false;
  }
  return true;
}

void
RequestAnswerer::propose(const Asker& aAsker,
                         const Command& aCommand,
                         std::function<void(const Outcome&)> aOnOutcome)
{
  if (!canAnswer(aAsker)) {
    return;
  }
  mContext.mLog.propose(
    aCommand, [this, aAsker, onOutcome = std::move(aOnOutcome)](const CommandResult& aResult) {
      if (const CommandFailure* failure = std::get_if<CommandFailure>(&aResult)) {
        fail(aAsker, failure->mError);
        return;
      }
      const Outcome& outcome = std::get<Outcome>(aResult);
      if (const Error* error = std::get_if<Error>(&outcome)) {
        fail(aAsker, *error);
        return;
      }
      onOutcome(outcome);
    });
}

} // namespace magnoliadrum
