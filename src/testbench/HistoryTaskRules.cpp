#include "testbench/HistoryChecker.h"

#include <algorithm>
#include <limits>
#include <utility>

// The part of HistoryChecker that deals with the tasks of workers.

namespace magnoliadrum {

namespace {

std::string
nameOf(const std::string& aTaskId, std::int64_t aEpoch)
{
  return aTaskId + " epoch " + std::to_string(aEpoch);
}

std::string
keyOf(const nlohmann::json& aLine)
{
  return nameOf(aLine.at("taskId").get<std::string>(), aLine.at("epoch").get<std::int64_t>());
}

} // namespace

HistoryChecker::Amount
HistoryChecker::readAmount(const nlohmann::json& aJson)
{
  return { .mCpuMilli = aJson.value("cpuMilli", std::int64_t{ 0 }),
           .mMemoryMb = aJson.value("memoryMb", std::int64_t{ 0 }),
           .mAccelerators = aJson.value("accelerators", std::int64_t{ 0 }) };
}

void
HistoryChecker::addWorker(const std::string& aSource, const std::vector<nlohmann::json>& aLines)
{
  Amount capacity;
  std::string dataCentre;
  std::map<std::string, std::size_t> open;
  std::int64_t lastMs = 0;
  const auto loseAll = [&](std::int64_t aAtMs) {
    for (const auto& [key, index] : open) {
      mRuns[index].mUntilMs = aAtMs;
      mRuns[index].mEnd = "lost";
    }
    open.clear();
  };
  for (const nlohmann::json& line : aLines) {
    const std::string event = line.at("event").get<std::string>();
    const std::int64_t atMs = line.at("atMs").get<std::int64_t>();
    if (event == "capacity") {
      loseAll(lastMs);
      capacity = readAmount(line.at("resources"));
      dataCentre = line.value("dataCentre", "");
    } else if (event == "killed") {
      loseAll(atMs);
    } else if (event == "start" || event == "resume") {
      open[keyOf(line)] = openRun(aSource, dataCentre, line);
      checkCapacity(aSource, capacity, open, line);
    } else if (event == "published") {
      mPublications.push_back({ .mTaskId = line.at("taskId").get<std::string>(),
                                .mEpoch = line.at("epoch").get<std::int64_t>(),
                                .mWorker = aSource });
    } else if (line.contains("taskId") && event != "throttle") {
      const auto position = open.find(keyOf(line));
      if (position != open.end()) {
        closeRun(mRuns[position->second], line);
        open.erase(position);
      }
    }
    lastMs = atMs;
  }
}

std::size_t
HistoryChecker::openRun(const std::string& aSource,
                        const std::string& aDataCentre,
                        const nlohmann::json& aLine)
{
  mRuns.push_back({ .mTaskId = aLine.at("taskId").get<std::string>(),
                    .mEpoch = aLine.at("epoch").get<std::int64_t>(),
                    .mWorker = aSource,
                    .mDataCentre = aDataCentre,
                    .mEntryName = aLine.value("entryName", ""),
                    .mAmount = readAmount(aLine.at("resources")),
                    .mFromMs = aLine.at("atMs").get<std::int64_t>(),
                    .mUntilMs = {},
                    .mEnd = {},
                    .mResumedFrom = aLine.value("checkpoint", ""),
                    .mCheckpoint = {} });
  return mRuns.size() - 1;
}

void
HistoryChecker::closeRun(Run& aRun, const nlohmann::json& aLine)
{
  aRun.mEnd = aLine.at("event").get<std::string>();
  aRun.mUntilMs = aLine.at("atMs").get<std::int64_t>();
  aRun.mCheckpoint = aLine.value("checkpoint", "");
  if (aRun.mEnd == "lease-expired") {
    // A worker that was frozen notes the end only when it runs again, and does no work before.
    aRun.mUntilMs = std::min(*aRun.mUntilMs, aLine.value("leaseUntilMs", *aRun.mUntilMs));
  }
}

void
HistoryChecker::checkCapacity(const std::string& aSource,
                              const Amount& aCapacity,
                              const std::map<std::string, std::size_t>& aOpen,
                              const nlohmann::json& aLine)
{
  Amount sum;
  for (const auto& [key, index] : aOpen) {
    sum.mCpuMilli += mRuns[index].mAmount.mCpuMilli;
    sum.mMemoryMb += mRuns[index].mAmount.mMemoryMb;
    sum.mAccelerators += mRuns[index].mAmount.mAccelerators;
  }
  const bool fits = sum.mCpuMilli <= aCapacity.mCpuMilli && sum.mMemoryMb <= aCapacity.mMemoryMb &&
                    sum.mAccelerators <= aCapacity.mAccelerators;
  if (!fits) {
    mFound.push_back({ "overcommit", aSource + " with the start of " + keyOf(aLine) });
  }
}

void
HistoryChecker::checkTask(std::vector<Run> aRuns, Violations& aFound) const
{
  const auto byStart = [](const Run& aLeft, const Run& aRight) {
    return std::pair(aLeft.mFromMs, aLeft.mEpoch) < std::pair(aRight.mFromMs, aRight.mEpoch);
  };
  std::sort(aRuns.begin(), aRuns.end(), byStart);
  std::string lastCheckpoint;
  for (std::size_t index = 0; index < aRuns.size(); index++) {
    const Run& run = aRuns[index];
    checkDataCentre(run, aFound);
    if (index > 0) {
      checkSuccession(aRuns[index - 1], run, aFound);
    }
    if (run.mResumedFrom != lastCheckpoint && !mOptions.mAllowOlderCheckpoints) {
      aFound.push_back({ "wrong-checkpoint",
                         nameOf(run.mTaskId, run.mEpoch) + " resumed from '" + run.mResumedFrom +
                           "' instead of '" + lastCheckpoint + "'" });
    }
    if (!run.mCheckpoint.empty()) {
      lastCheckpoint = run.mCheckpoint;
    }
  }
}

void
HistoryChecker::checkSuccession(const Run& aEarlier, const Run& aLater, Violations& aFound) const
{
  const std::string name = nameOf(aLater.mTaskId, aLater.mEpoch);
  const std::int64_t untilMs = aEarlier.mUntilMs.value_or(std::numeric_limits<std::int64_t>::max());
  if (aLater.mFromMs < untilMs) {
    aFound.push_back({ "two-places",
                       name + " runs on " + aLater.mWorker + " beside epoch " +
                         std::to_string(aEarlier.mEpoch) + " on " + aEarlier.mWorker });
  }
  // Two runs with one epoch are two resumptions after one stop.
  if (aLater.mEpoch <= aEarlier.mEpoch) {
    aFound.push_back(
      { "epoch-repeated", name + " runs after epoch " + std::to_string(aEarlier.mEpoch) });
  }
  const bool isPublished =
    std::any_of(mPublications.begin(), mPublications.end(), [&](const Publication& aItem) {
      return aItem.mTaskId == aEarlier.mTaskId && aItem.mEpoch == aEarlier.mEpoch;
    });
  if (isPublished) {
    aFound.push_back({ "run-after-publication", name });
  }
}

void
HistoryChecker::checkDataCentre(const Run& aRun, Violations& aFound) const
{
  const auto allowed = mAllowed.find(aRun.mEntryName);
  if (allowed != mAllowed.end() && !allowed->second.contains(aRun.mDataCentre)) {
    aFound.push_back(
      { "data-centre", nameOf(aRun.mTaskId, aRun.mEpoch) + " runs in " + aRun.mDataCentre });
  }
}

void
HistoryChecker::checkPublications(Violations& aFound) const
{
  std::set<std::string> published;
  for (const Publication& publication : mPublications) {
    if (!published.insert(publication.mTaskId).second) {
      aFound.push_back({ "published-twice", publication.mTaskId });
    }
    const bool isCompleted = std::any_of(mRuns.begin(), mRuns.end(), [&](const Run& aRun) {
      return aRun.mTaskId == publication.mTaskId && aRun.mEpoch == publication.mEpoch &&
             aRun.mWorker == publication.mWorker && aRun.mEnd == "completed";
    });
    if (!isCompleted) {
      aFound.push_back(
        { "published-uncompleted",
          nameOf(publication.mTaskId, publication.mEpoch) + " on " + publication.mWorker });
    }
  }
}

void
HistoryChecker::checkFinished(const std::string& aTaskId, Violations& aFound) const
{
  // The id of a standing task is 'ENTRY/#N'; it has no end.
  const bool isStanding = aTaskId.find("/#") != std::string::npos;
  const bool isPublished =
    std::any_of(mPublications.begin(), mPublications.end(), [&](const Publication& aItem) {
      return aItem.mTaskId == aTaskId;
    });
  if (mOptions.mRequireFinished && !isStanding && !isPublished) {
    aFound.push_back({ "not-finished", aTaskId + " was started and never published" });
  }
}

} // namespace magnoliadrum
