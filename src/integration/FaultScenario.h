#pragma once

#include "cli/GatewayClient.h"
#include "integration/Deployment.h"
#include "integration/FaultCell.h"
#include "testbench/LoadGenerator.h"

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace magnoliadrum {

/** Result of one cell. */
struct FaultReport
{
  /** The victim reached the fault point, or the effect was applied. */
  bool mHit = false;
  /** Every rule that did not hold, in words. Empty for a pass. */
  std::vector<std::string> mViolations;
  LoadResult mLoad;
};

/**
 * Runs one cell of the fault matrix: a small deployment under a fixed workload of requests, tasks
 * and catalogue changes, the fault, the recovery, and the checks.
 */
class FaultScenario
{
public:
  struct Options
  {
    std::string mProgramFolder;
    std::string mRunFolder;
    std::uint64_t mSeed = 1;
  };

  static Result<FaultReport> run(const FaultCell& aCell, const Options& aOptions);

private:
  FaultScenario(const FaultCell& aCell,
                Options aOptions,
                std::unique_ptr<Deployment> aDeployment,
                std::unique_ptr<GatewayClient> aClient);

  Result<FaultReport> runSteps();

  // Workload.
  Result<Done> startDeployment();
  Result<Done> applyCatalogue();
  void startLoad();
  Result<Done> submitTasks(int aFirst, int aCount);
  void changeEntry();
  Result<Done> waitForTasks();
  Result<Done> waitForStandingTasks();

  // Fault.
  Result<Done> chooseVictim();
  Result<Done> inject();
  Result<Done> injectAtPoint();
  Result<Done> recover();
  void killVictim();
  void restartVictim();
  Result<Done> replaceVictim();
  void tearLogTail();
  Result<Done> setProxyRules(bool aActive);
  nlohmann::json proxyRule() const;
  bool victimHasReached();
  void markKilled(const std::string& aTarget);

  // Checks.
  void checkCatalogue();
  void checkLoad();
  void checkHistories();
  void violation(std::string aText);

  Result<nlohmann::json> query(const std::string& aPath);
  std::string findLeader();
  Result<Done> waitFor(const std::string& aWhat,
                       std::int64_t aLimitMs,
                       const std::function<bool()>& aCondition);

  FaultCell mCell;
  Options mOptions;
  std::unique_ptr<Deployment> mDeployment;
  std::unique_ptr<GatewayClient> mClient;
  FaultReport mReport;
  /** Names of the processes that the fault hits. */
  std::vector<std::string> mVictims;
  std::jthread mLoadThread;
  LoadResult mLoadResult;
  std::int64_t mEntryVersion = 0;
  std::int64_t mEntryAttempts = 1;
  /** Value of the last accepted change, and of the last one sent, which may have been accepted
   * unseen. */
  std::int64_t mAcceptedAttempts = 0;
};

} // namespace magnoliadrum
