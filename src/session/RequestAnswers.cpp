#include "session/RequestAnswers.h"

#include <variant>

namespace magnoliadrum {

namespace {

ErrorCode
errorCodeOf(FailureCode aCode)
{
  switch (aCode) {
    case FailureCode::eInvalid:
      return ErrorCode::eInvalid;
    case FailureCode::eNotFound:
      return ErrorCode::eNotFound;
    case FailureCode::eConflict:
      return ErrorCode::eConflict;
    case FailureCode::eRefused:
      return ErrorCode::eRefused;
    case FailureCode::eNotLeader:
      return ErrorCode::eNotLeader;
    case FailureCode::eUnavailable:
      return ErrorCode::eUnavailable;
    case FailureCode::eTimeout:
      return ErrorCode::eTimeout;
    case FailureCode::eCorrupt:
      return ErrorCode::eCorrupt;
    case FailureCode::eIo:
      return ErrorCode::eIo;
  }
  return ErrorCode::eUnavailable;
}

} // namespace

std::string
requestIdOf(const Message& aMessage)
{
  const auto getRequestId = [](const auto& aBody) -> std::string {
    if constexpr (requires { aBody.requestId(); }) {
      return aBody.requestId();
    } else {
      return "";
    }
  };
  return std::visit(getRequestId, aMessage);
}

Error
toError(const OperationFailed& aFailure)
{
  return Error::create(
    errorCodeOf(aFailure.code()), aFailure.step(), aFailure.peer(), aFailure.detail());
}

} // namespace magnoliadrum
