#include "core/Error.h"

#include <utility>

namespace magnoliadrum {

const char*
errorCodeName(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::eInvalid:
      return "invalid";
    case ErrorCode::eNotFound:
      return "not-found";
    case ErrorCode::eConflict:
      return "conflict";
    case ErrorCode::eRefused:
      return "refused";
    case ErrorCode::eNotLeader:
      return "not-leader";
    case ErrorCode::eUnavailable:
      return "unavailable";
    case ErrorCode::eNotSent:
      return "not-sent";
    case ErrorCode::eTimeout:
      return "timeout";
    case ErrorCode::eCorrupt:
      return "corrupt";
    case ErrorCode::eIo:
      return "io";
    case ErrorCode::eNoSpace:
      return "no-space";
  }
  return "unknown";
}

Error::Error(ErrorCode aCode, std::string aStep, std::string aPeer, std::string aDetail)
  : mCode(aCode)
  , mStep(std::move(aStep))
  , mPeer(std::move(aPeer))
  , mDetail(std::move(aDetail))
{
}

Error
Error::create(ErrorCode aCode, std::string aStep, std::string aPeer, std::string aDetail)
{
  return Error(aCode, std::move(aStep), std::move(aPeer), std::move(aDetail));
}

std::string
Error::text() const
{
  return std::string(errorCodeName(mCode)) + " at " + mStep + " (" + mPeer + "): " + mDetail;
}

} // namespace magnoliadrum
