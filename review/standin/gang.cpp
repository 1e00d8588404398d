// An executor crashes once under a gang that saves checkpoints.
#include "small.h"

using namespace standin;

namespace {

constexpr std::int64_t kWorkMs = 6000;
/** From the executor's return; twice ContactMs and more, so that nothing near disturbs a run. */
constexpr std::int64_t kCalmAfterMs = 10000;

int
run(Deployment& aDeployment, bool aHasTrouble)
{
  SmallSite& site = *new SmallSite(aDeployment, 3, 4000);
  site.world.planOf = [](const std::string&) {
    return TaskPlan{ .workMs = kWorkMs, .checkpoints = true, .gangSize = 3 };
  };
  if (!site.start()) {
    return 2;
  }
  const std::string id = "5c0e7a21d94b36f9";
  const json job = { { "Spec", "gang" },
                     { "Steps",
                       { { { "Count", 3 },
                           { "Cpu", 3000 },
                           { "MemMb", 256 },
                           { "EstimateMs", kWorkMs },
                           { "Gang", true },
                           { "Checkpointing", true } } } } };
  if (!site.client->submit(id, job)) {
    return 2;
  }
  std::int64_t backAt = Record::get().elapsed();
  if (aHasTrouble) {
    for (const std::int64_t until = steadyMs() + 10000; steadyMs() < until; sleepMs(20)) {
      const std::lock_guard<std::mutex> lock(site.world.gangMutex);
      if (!site.world.gangs.empty() && site.world.gangs.begin()->second.workedSince != 0 &&
          steadyMs() - site.world.gangs.begin()->second.workedSince > 2500) {
        break;
      }
    }
    site.executors[1]->crash();
    sleepMs(4000);
    site.executors[1]->boot();
    backAt = Record::get().elapsed();
  }
  std::string state;
  int alone = 0;
  for (const std::int64_t until = steadyMs() + 60000; steadyMs() < until; sleepMs(1000)) {
    state = site.client->state(id);
    alone = 0;
    for (const RunEvent& event : site.world.events()) {
      alone += event.how == "alone" && event.at > backAt + kCalmAfterMs ? 1 : 0;
    }
    if (state == "completed" || alone >= 6) {
      break;
    }
  }
  RECORD("state %s, %d runs ended alone later than %lld ms after the executor was back",
         state.c_str(),
         alone,
         static_cast<long long>(kCalmAfterMs));
  if (const std::string ended = aDeployment.endedByItself(); !ended.empty()) {
    RECORD("%s", ended.c_str());
    return 2;
  }
  return alone > 0 || state != "completed" ? 1 : 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return runCase(aCount, aArguments, run);
}
