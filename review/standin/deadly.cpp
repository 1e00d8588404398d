// A task that crashes each executor that starts it, two seconds after its start.
#include "small.h"

using namespace standin;

namespace {

constexpr std::int64_t kCrashAfterMs = 2000;
constexpr std::int64_t kWorkMs = 4000;
constexpr std::int64_t kDownMs = 4500;

int
run(Deployment& aDeployment, bool aHasTrouble)
{
  // Outlives this function, because detached threads use it.
  SmallSite& site = *new SmallSite(aDeployment, 4, 8000);
  site.world.planOf = [aHasTrouble](const std::string&) {
    return TaskPlan{ .workMs = kWorkMs, .crashAfterMs = aHasTrouble ? kCrashAfterMs : -1 };
  };
  for (const std::unique_ptr<Executor>& executor : site.executors) {
    executor->rebootMs = kDownMs;
  }
  if (!site.start()) {
    return 2;
  }
  const std::string id = "5c0e7a21d94b36f8";
  const json job = { { "Spec", "deadly" },
                     { "Steps", { { { "Count", 1 }, { "Cpu", 500 }, { "MemMb", 256 }, { "EstimateMs", kWorkMs } } } } };
  if (!site.client->submit(id, job)) {
    return 2;
  }
  // BUDGET: three more starts, by machines in touch, after three executors have crashed under the task.
  int startsAfterThirdCrash = 0;
  std::string state;
  for (const std::int64_t until = steadyMs() + 85000; steadyMs() < until; sleepMs(1000)) {
    state = site.client->state(id);
    int crashes = 0;
    startsAfterThirdCrash = 0;
    for (const RunEvent& event : site.world.events()) {
      crashes += event.kind == "end" && event.how == "crash" ? 1 : 0;
      startsAfterThirdCrash += event.kind == "start" && crashes >= 3 ? 1 : 0;
    }
    if (startsAfterThirdCrash >= 3 || state == "completed" || state == "failed") {
      break;
    }
  }
  RECORD("state %s, %d starts after the third crash", state.c_str(), startsAfterThirdCrash);
  if (const std::string ended = aDeployment.endedByItself(); !ended.empty()) {
    RECORD("%s", ended.c_str());
    return 2;
  }
  if (!aHasTrouble) {
    return state == "completed" ? 0 : 1;
  }
  return startsAfterThirdCrash >= 3 ? 1 : 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return runCase(aCount, aArguments, run);
}
