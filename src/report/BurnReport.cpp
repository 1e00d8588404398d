#include "report/BurnReport.h"

#include "observability/LatencyHistogram.h"
#include "report/HtmlPage.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>

namespace magnoliadrum {

namespace {

constexpr std::int64_t kMsPerMinute = 60000;

/** A task is listed as late once it has used this share of its time. */
constexpr double kLateShare = 0.8;

constexpr double kP50 = 0.5;
constexpr double kP99 = 0.99;
constexpr double kP999 = 0.999;
constexpr double kPercent = 100;

void
add(WindowCount& aWindow, const ServiceLevelRow& aRow)
{
  aWindow.mTotal += aRow.total();
  aWindow.mGood += aRow.good();
}

EntryBurn
burnOf(const CatalogueEntry& aEntry,
       const std::vector<ServiceLevelRow>& aRows,
       std::int64_t aNowMinute)
{
  EntryBurn burn;
  burn.mEntryName = aEntry.name();
  burn.mLatencyObjectiveMs = aEntry.objective()->latencyMs();
  burn.mShareObjective = aEntry.objective()->share();
  const double allowed = 1 - burn.mShareObjective;
  WindowCount shortWindow;
  WindowCount longWindow;
  std::map<std::int64_t, WindowCount> minutes;
  LatencyHistogram latency;
  for (const ServiceLevelRow& row : aRows) {
    if (row.entryName() != aEntry.name()) {
      continue;
    }
    add(burn.mWhole, row);
    add(minutes[row.minute()], row);
    burn.mRefused += row.refused();
    burn.mUnknown += row.unknown();
    latency.merge(LatencyHistogram::fromCounts(row.latencyCounts()));
    if (row.minute() > aNowMinute - kLongWindowMinutes) {
      add(longWindow, row);
    }
    if (row.minute() > aNowMinute - kShortWindowMinutes) {
      add(shortWindow, row);
    }
  }
  burn.mBudgetUsed = burn.mWhole.badShare() / allowed;
  burn.mShortBurnRate = shortWindow.badShare() / allowed;
  burn.mLongBurnRate = longWindow.badShare() / allowed;
  burn.mP50Ms = latency.quantile(kP50);
  burn.mP99Ms = latency.quantile(kP99);
  burn.mP999Ms = latency.quantile(kP999);
  burn.mLatencyCounts = latency.counts();
  for (const auto& [minute, window] : minutes) {
    burn.mPoints.push_back({ minute, window.badShare() / allowed });
  }
  return burn;
}

std::vector<LateTask>
findLateTasks(const ReportRows& aRows)
{
  std::map<std::string, std::int64_t> limits;
  for (const CatalogueEntry& entry : aRows.entries()) {
    limits[entry.name()] = entry.limits().finishWithinMs();
  }
  std::vector<LateTask> late;
  for (const TaskRecord& task : aRows.tasks()) {
    const std::int64_t limitMs = limits[task.entryName()];
    if (limitMs == 0) {
      continue;
    }
    const std::int64_t usedMs = aRows.nowMs() - task.submittedAtMs();
    if (static_cast<double>(usedMs) >= kLateShare * static_cast<double>(limitMs)) {
      late.push_back(
        { task.taskId(), toText(task.state()), task.submittedAtMs() + limitMs, usedMs > limitMs });
    }
  }
  return late;
}

} // namespace

double
WindowCount::badShare() const
{
  if (mTotal == 0) {
    return 0;
  }
  return static_cast<double>(mTotal - mGood) / static_cast<double>(mTotal);
}

BurnReport
BurnReport::create(const ReportRows& aRows)
{
  BurnReport report;
  report.mNowMs = aRows.nowMs();
  report.mSilentTasks = aRows.silent();
  report.mLateTasks = findLateTasks(aRows);
  for (const CatalogueEntry& entry : aRows.entries()) {
    if (entry.objective()) {
      report.mEntries.push_back(burnOf(entry, aRows.rows(), aRows.nowMs() / kMsPerMinute));
    }
  }
  return report;
}

std::string
BurnReport::toText() const
{
  std::ostringstream out;
  out << std::fixed << std::setprecision(2);
  for (const EntryBurn& entry : mEntries) {
    out << entry.mEntryName << ": " << entry.mShareObjective * kPercent << "% within "
        << entry.mLatencyObjectiveMs << " ms; requests " << entry.mWhole.mTotal << ", good "
        << entry.mWhole.mGood << ", refused " << entry.mRefused << ", unknown " << entry.mUnknown
        << "\n  budget used " << entry.mBudgetUsed * kPercent << "%, burn rate "
        << entry.mShortBurnRate << " (5 min), " << entry.mLongBurnRate << " (60 min); p50 "
        << entry.mP50Ms << " ms, p99 " << entry.mP99Ms << " ms, p99.9 " << entry.mP999Ms << " ms\n";
  }
  for (const std::string& taskId : mSilentTasks) {
    out << "silent: " << taskId << "\n";
  }
  for (const LateTask& task : mLateTasks) {
    out << (task.mMissed ? "missed its time: " : "may miss its time: ") << task.mTaskId << " ("
        << task.mState << ")\n";
  }
  return out.str();
}

nlohmann::json
BurnReport::toJson() const
{
  nlohmann::json json = { { "nowMs", mNowMs }, { "silent", mSilentTasks } };
  json["entries"] = nlohmann::json::array();
  for (const EntryBurn& entry : mEntries) {
    json["entries"].push_back({ { "entryName", entry.mEntryName },
                                { "objectiveLatencyMs", entry.mLatencyObjectiveMs },
                                { "objectiveShare", entry.mShareObjective },
                                { "total", entry.mWhole.mTotal },
                                { "good", entry.mWhole.mGood },
                                { "refused", entry.mRefused },
                                { "unknown", entry.mUnknown },
                                { "budgetUsed", entry.mBudgetUsed },
                                { "burnRate5Min", entry.mShortBurnRate },
                                { "burnRate60Min", entry.mLongBurnRate },
                                { "p50Ms", entry.mP50Ms },
                                { "p99Ms", entry.mP99Ms },
                                { "p999Ms", entry.mP999Ms } });
  }
  json["lateTasks"] = nlohmann::json::array();
  for (const LateTask& task : mLateTasks) {
    json["lateTasks"].push_back({ { "taskId", task.mTaskId },
                                  { "state", task.mState },
                                  { "dueMs", task.mDueMs },
                                  { "missed", task.mMissed } });
  }
  return json;
}

std::string
BurnReport::toHtml() const
{
  HtmlPage page("magnoliadrum service-level burn");
  for (const EntryBurn& entry : mEntries) {
    page.addEntry(entry);
  }
  page.addList("Silent standing tasks", mSilentTasks);
  std::vector<std::string> late;
  for (const LateTask& task : mLateTasks) {
    late.push_back(task.mTaskId + (task.mMissed ? " missed its time" : " may miss its time"));
  }
  page.addList("Late batch tasks", late);
  return page.text();
}

} // namespace magnoliadrum
