#include "testbench/FaultRule.h"

#include <map>
#include <nlohmann/json.hpp>

namespace magnoliadrum {

namespace {

const std::map<std::string, FaultKind> kKinds = {
  { "cut", FaultKind::eCut },
  { "reset", FaultKind::eReset },
  { "truncate", FaultKind::eTruncate },
  { "delay", FaultKind::eDelay },
  { "duplicate", FaultKind::eDuplicate },
  { "reorder", FaultKind::eReorder },
};

const std::map<std::string, FaultDirection> kDirections = {
  { "both", FaultDirection::eBoth },
  { "to-server", FaultDirection::eToServer },
  { "to-client", FaultDirection::eToClient },
};

} // namespace

Result<FaultRule>
FaultRule::fromJson(const nlohmann::json& aJson)
{
  const auto invalid = [&](const std::string& aDetail) {
    return Error::create(ErrorCode::eInvalid, "read fault rule", aJson.dump(), aDetail);
  };
  if (!aJson.is_object() || !aJson.contains("kind")) {
    return invalid("expected an object with a kind");
  }
  FaultRule rule;
  try {
    const auto kind = kKinds.find(aJson.at("kind").get<std::string>());
    const auto direction = kDirections.find(aJson.value("direction", "both"));
    if (kind == kKinds.end() || direction == kDirections.end()) {
      return invalid("unknown kind or direction");
    }
    rule.mKind = kind->second;
    rule.mDirection = direction->second;
    rule.mLink = aJson.value("link", "");
    rule.mFrom = aJson.value("from", "");
    rule.mAfterFrames = aJson.value("afterFrames", std::int64_t{ 0 });
    rule.mTimes = aJson.value("times", std::int64_t{ 0 });
    rule.mDelayMs = aJson.value("delayMs", std::int64_t{ 0 });
  } catch (const nlohmann::json::exception& error) {
    return invalid(error.what());
  }
  return rule;
}

} // namespace magnoliadrum
