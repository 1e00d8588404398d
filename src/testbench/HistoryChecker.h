#pragma once

#include "core/core.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace magnoliadrum {

/** A rule that the histories break. */
struct HistoryViolation
{
  /** Short name of the rule, such as "overcommit". */
  std::string mRule;
  std::string mDetail;

  friend bool operator==(const HistoryViolation&, const HistoryViolation&) = default;
};

/**
 * Checks what executors, workers and callers saw against the invariants of the design.
 *
 * It uses only their history files and shares no code with the scheduler. All files must come from
 * one VM, because their times are compared. A test that kills a worker appends a line with the
 * event "killed" to its history; without it, the worker's tasks count as running until the file's
 * last line before the restart, or for ever when there is none.
 */
class HistoryChecker
{
public:
  struct Options
  {
    /** Every started batch task must be published in the end. */
    bool mRequireFinished = false;
    /** A checkpoint may get lost together with the VM that wrote it. */
    bool mAllowOlderCheckpoints = false;
  };

  explicit HistoryChecker(Options aOptions);

  /** Adds a history; its first line tells the kind. A torn last line is ignored. */
  Result<Done> addHistory(const std::string& aSource, const std::string& aText);

  /** Reads a file and adds it. */
  Result<Done> addFile(const std::string& aFileName);

  /** Sets the allowed data centres: [{"name": ENTRY, "dataCentres": [...]}, ...]. */
  Result<Done> setEntries(const std::string& aText);

  std::vector<HistoryViolation> check() const;

private:
  struct Amount
  {
    std::int64_t mCpuMilli = 0;
    std::int64_t mMemoryMb = 0;
    std::int64_t mAccelerators = 0;
  };

  /** One run of a task, from its start to its end on a worker. */
  struct Run
  {
    std::string mTaskId;
    std::int64_t mEpoch = 0;
    std::string mWorker;
    std::string mDataCentre;
    std::string mEntryName;
    Amount mAmount;
    std::int64_t mFromMs = 0;
    std::optional<std::int64_t> mUntilMs;
    std::string mEnd;
    std::string mResumedFrom;
    std::string mCheckpoint;
  };

  struct Publication
  {
    std::string mTaskId;
    std::int64_t mEpoch = 0;
    std::string mWorker;
  };

  struct CallerRequest
  {
    bool mRepeatable = true;
    bool mResent = false;
    std::string mOutcome;
  };

  using Violations = std::vector<HistoryViolation>;

  void addWorker(const std::string& aSource, const std::vector<nlohmann::json>& aLines);
  void addExecutor(const std::string& aSource, const std::vector<nlohmann::json>& aLines);
  void addCallers(const std::string& aSource, const std::vector<nlohmann::json>& aLines);
  std::size_t openRun(const std::string& aSource,
                      const std::string& aDataCentre,
                      const nlohmann::json& aLine);
  void closeRun(Run& aRun, const nlohmann::json& aLine);
  void checkCapacity(const std::string& aSource,
                     const Amount& aCapacity,
                     const std::map<std::string, std::size_t>& aOpen,
                     const nlohmann::json& aLine);
  void checkTask(std::vector<Run> aRuns, Violations& aFound) const;
  void checkSuccession(const Run& aEarlier, const Run& aLater, Violations& aFound) const;
  void checkDataCentre(const Run& aRun, Violations& aFound) const;
  void checkPublications(Violations& aFound) const;
  void checkFinished(const std::string& aTaskId, Violations& aFound) const;
  void checkRequests(Violations& aFound) const;
  static Amount readAmount(const nlohmann::json& aJson);

  Options mOptions;
  std::map<std::string, std::set<std::string>> mAllowed;
  std::vector<Run> mRuns;
  std::vector<Publication> mPublications;
  /** How often executors received a request, by the caller's key and by the request id. */
  std::map<std::string, int> mReceivedByKey;
  std::map<std::string, int> mReceivedById;
  std::map<std::string, CallerRequest> mCallerRequests;
  /** Violations that show while a history is read. */
  Violations mFound;
};

} // namespace magnoliadrum
