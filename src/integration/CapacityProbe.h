#pragma once

#include "integration/Deployment.h"
#include "integration/ProcessUsage.h"
#include "session/session.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace magnoliadrum {

/** One measured amount: what one more unit of something costs. */
struct Slope
{
  std::string mName;
  std::string mUnit;
  double mValue = 0;
};

/**
 * Measures what sessions, catalogue entries, tasks and intents cost the control group, with real
 * control processes and synthetic sessions in this process.
 */
class CapacityProbe
{
public:
  /** Starts a control group of three replicas. Precondition: aSessions is over 100, where the
   * slopes start. */
  static Result<std::unique_ptr<CapacityProbe>> create(const std::string& aProgramFolder,
                                                       const std::string& aRunFolder,
                                                       int aSessions);

  CapacityProbe(const CapacityProbe&) = delete;
  CapacityProbe& operator=(const CapacityProbe&) = delete;
  ~CapacityProbe();

  /** Runs all measurements. */
  Result<std::vector<Slope>> measure();

private:
  CapacityProbe(std::unique_ptr<EventLoop> aLoop,
                std::unique_ptr<Deployment> aDeployment,
                int aManySessions);

  Result<Done> findLeader();
  Result<Done> measureSessions();
  Result<Done> measureCatalogue();
  Result<Done> measureTasks();
  Result<Done> measureIntents();
  Result<Done> addSessions(int aCount);
  Result<Done> callAll(const std::vector<Message>& aMessages, int aConcurrency);
  Result<ProcessUsage> leaderUsage();
  void runMs(std::int64_t aMs);
  void addSlope(std::string aName, std::string aUnit, double aValue);
  std::string nextRequestId();
  Message entryChange(const std::string& aName, bool aIsBatch);

  std::unique_ptr<EventLoop> mLoop;
  std::unique_ptr<Deployment> mDeployment;
  std::vector<std::unique_ptr<ControlLink>> mSessions;
  std::string mLeader;
  std::vector<Slope> mSlopes;
  int mManySessions;
  std::int64_t mNextRequest = 1;
};

} // namespace magnoliadrum
