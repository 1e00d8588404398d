#include "integration/FaultScenario.h"
#include "integration/FaultWorkload.h"
#include "testbench/HistoryChecker.h"

#include <fstream>
#include <sstream>

namespace magnoliadrum {

void
FaultScenario::checkCatalogue()
{
  for (const std::string& gateway : mDeployment->gatewayAddresses()) {
    const std::unique_ptr<GatewayClient> client =
      takeValue(GatewayClient::create({ gateway }, kClientTimeoutMs));
    const Result<GatewayAnswer> answer =
      client->request("GET", std::string("/v1/catalogue/") + kChangingEntry);
    if (!isOk(answer) || !valueOf(answer).isSuccess()) {
      violation("catalogue cannot be read at " + gateway);
      continue;
    }
    const Result<CatalogueListing> listing =
      CatalogueListing::fromJson(valueOf(answer).mBody, "check catalogue", gateway);
    if (!isOk(listing) || valueOf(listing).records().size() != 1 ||
        !valueOf(listing).records().front().entry()) {
      violation("catalogue entry is missing at " + gateway);
      continue;
    }
    const CatalogueRecord& record = valueOf(listing).records().front();
    if (record.entry()->limits().maxAttempts() < mAcceptedAttempts) {
      violation("accepted change " + std::to_string(mAcceptedAttempts) + " was reverted to " +
                std::to_string(record.entry()->limits().maxAttempts()));
    }
  }
  changeEntry();
  const Result<Done> inForce = waitFor("last change in force", kInForceLimitMs, [this]() {
    const Result<nlohmann::json> status = query("/v1/status");
    if (!isOk(status)) {
      return false;
    }
    const std::int64_t version = valueOf(status).value("catalogueVersion", std::int64_t{ 0 });
    const Result<nlohmann::json> change = query("/v1/changes/" + std::to_string(version));
    return isOk(change) && valueOf(change).value("inForce", false);
  });
  if (!isOk(inForce)) {
    violation(errorOf(inForce).text());
  }
}

void
FaultScenario::checkLoad()
{
  if (mLoadResult.mDone == 0) {
    violation("no request was answered");
  }
  if (mLoadResult.mMixedUp > 0) {
    violation(std::to_string(mLoadResult.mMixedUp) + " answers belong to another request");
  }
}

void
FaultScenario::checkHistories()
{
  HistoryChecker::Options options;
  options.mRequireFinished = mReport.mViolations.empty();
  // A checkpoint is committed after it is written, so a worker that dies in between loses it.
  options.mAllowOlderCheckpoints = mCell.mVictim == FaultVictim::eWorkerVm;
  HistoryChecker checker(options);
  std::vector<std::string> files = { mDeployment->runFolder() + "/callers.history.jsonl" };
  for (const TargetKind kind : { TargetKind::eExecutor, TargetKind::eWorker }) {
    for (const std::string& target : mDeployment->targetNames(kind)) {
      files.push_back(mDeployment->historyFile(target));
    }
  }
  for (const std::string& file : files) {
    const Result<Done> added = checker.addFile(file);
    if (!isOk(added)) {
      violation(errorOf(added).text());
    }
  }
  std::ostringstream entries;
  entries << std::ifstream(mDeployment->runFolder() + "/catalogue.json").rdbuf();
  const Result<Done> set = checker.setEntries(entries.str());
  if (!isOk(set)) {
    violation(errorOf(set).text());
  }
  for (const HistoryViolation& found : checker.check()) {
    violation(found.mRule + ": " + found.mDetail);
  }
}

} // namespace magnoliadrum
