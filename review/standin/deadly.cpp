// A task that crashes each executor that starts it, two seconds after its start, beside a harmless job.
#include "small.h"

using namespace standin;

namespace {

constexpr std::int64_t kCrashAfterMs = 2000;
constexpr std::int64_t kDownMs = 4500;
constexpr std::int64_t kWorkMs = 4000;
constexpr std::int64_t kHarmlessWorkMs = 12000;

const char* const kDeadlyJob = "5c0e7a21d94b36f8";
const char* const kHarmlessJob = "00000000000000f1";

int
run(Deployment& aDeployment, bool aHasTrouble)
{
  // Outlives this function, because detached threads use it.
  SmallSite& site = *new SmallSite(aDeployment, 2, 8000);
  site.world.planOf = [aHasTrouble](const std::string& aTask) {
    if (!aTask.starts_with(kDeadlyJob)) {
      return TaskPlan{ .workMs = kHarmlessWorkMs };
    }
    return TaskPlan{ .workMs = kWorkMs, .crashAfterMs = aHasTrouble ? kCrashAfterMs : -1 };
  };
  for (const std::unique_ptr<Executor>& executor : site.executors) {
    executor->rebootMs = kDownMs;
  }
  if (!site.start()) {
    return 2;
  }
  const auto job = [](const char* aSpec, int aCount, std::int64_t aEstimateMs) -> json {
    return { { "Spec", aSpec },
             { "Steps",
               { { { "Count", aCount }, { "Cpu", 1000 }, { "MemMb", 256 }, { "EstimateMs", aEstimateMs } } } } };
  };
  if (!site.client->submit(kHarmlessJob, job("harmless", 4, kHarmlessWorkMs))) {
    return 2;
  }
  sleepMs(1500);
  if (!site.client->submit(kDeadlyJob, job("deadly", 1, kWorkMs))) {
    return 2;
  }
  // BUDGET: three more starts, by machines in touch, after three executors have crashed under the task.
  int startsAfterThirdCrash = 0;
  std::string deadlyState;
  std::string harmlessState;
  for (const std::int64_t until = steadyMs() + 85000; steadyMs() < until; sleepMs(1000)) {
    deadlyState = site.client->state(kDeadlyJob);
    harmlessState = site.client->state(kHarmlessJob);
    int crashes = 0;
    startsAfterThirdCrash = 0;
    for (const RunEvent& event : site.world.events()) {
      if (!event.task.starts_with(kDeadlyJob)) {
        continue;
      }
      crashes += event.kind == "end" && event.how == "crash" ? 1 : 0;
      startsAfterThirdCrash += event.kind == "start" && crashes >= 3 ? 1 : 0;
    }
    const bool isOver = deadlyState == "completed" || deadlyState == "failed";
    if (startsAfterThirdCrash >= 8 || (isOver && harmlessState == "completed")) {
      break;
    }
  }
  RECORD("the deadly job is %s, %d starts after the third crash; the harmless job is %s",
         deadlyState.c_str(),
         startsAfterThirdCrash,
         harmlessState.c_str());
  if (const std::string ended = aDeployment.endedByItself(); !ended.empty()) {
    RECORD("%s", ended.c_str());
    return 2;
  }
  if (!aHasTrouble) {
    return deadlyState == "completed" && harmlessState == "completed" ? 0 : 1;
  }
  return startsAfterThirdCrash >= 3 ? 1 : 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return runCase(aCount, aArguments, run);
}
