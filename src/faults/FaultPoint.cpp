#include "faults/FaultPoint.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <map>
#include <optional>
#include <vector>

namespace magnoliadrum {

namespace {

constexpr const char* kStep = "arm fault points";

enum class FaultAction
{
  eKill,
  eFreeze,
  eExit
};

struct ArmedPoint
{
  int mPassagesLeft = 0;
  FaultAction mAction = FaultAction::eKill;
};

std::map<std::string, ArmedPoint, std::less<>> sArmed;

std::optional<FaultAction>
parseAction(const std::string& aText)
{
  if (aText == "kill") {
    return FaultAction::eKill;
  }
  if (aText == "freeze") {
    return FaultAction::eFreeze;
  }
  if (aText == "exit") {
    return FaultAction::eExit;
  }
  return std::nullopt;
}

Result<Done>
armOne(const std::string& aText)
{
  std::vector<std::string> parts;
  boost::algorithm::split(parts, aText, boost::algorithm::is_any_of(":"));
  ArmedPoint point;
  const bool hasParts = parts.size() == 3;
  const std::optional<FaultAction> action = hasParts ? parseAction(parts[2]) : std::nullopt;
  if (hasParts) {
    std::from_chars(parts[1].data(), parts[1].data() + parts[1].size(), point.mPassagesLeft);
  }
  if (!action || point.mPassagesLeft < 1) {
    return Error::create(
      ErrorCode::eInvalid, kStep, "local", "expected NAME:COUNT:ACTION: " + aText);
  }
  point.mAction = *action;
  sArmed[parts[0]] = point;
  return Done{};
}

void
act(FaultAction aAction)
{
  constexpr int kFailure = 1;
  switch (aAction) {
    case FaultAction::eKill:
      std::raise(SIGKILL);
      return;
    case FaultAction::eFreeze:
      std::raise(SIGSTOP);
      return;
    case FaultAction::eExit:
      std::_Exit(kFailure);
  }
}

} // namespace

Result<Done>
armFaultPoints(const std::string& aText)
{
  if (aText.empty()) {
    return Done{};
  }
  std::vector<std::string> points;
  boost::algorithm::split(points, aText, boost::algorithm::is_any_of(","));
  for (const std::string& point : points) {
    const Result<Done> armed = armOne(point);
    if (!isOk(armed)) {
      return armed;
    }
  }
  return Done{};
}

void
faultPoint(const char* aName)
{
  if (sArmed.empty()) {
    return;
  }
  const auto position = sArmed.find(aName);
  if (position == sArmed.end() || --position->second.mPassagesLeft > 0) {
    return;
  }
  const FaultAction action = position->second.mAction;
  sArmed.erase(position);
  act(action);
}

} // namespace magnoliadrum
