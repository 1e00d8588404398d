// An executor leaves the orders to start a run unanswered and carries one out late, in the millisecond in which it is told to
// stop the run, since its room has shrunk.
#include "executor.h"

using namespace standin;

namespace {

constexpr std::int64_t kLateMs = 2000;
constexpr std::int64_t kShrunkCpu = 2000;
const char* const kJob = "5c0e7a21d94b36f8";

int
run(Deployment& aDeployment, bool aHasTrouble)
{
  PlainSite& site = *new PlainSite(aDeployment);
  static std::atomic<PlainExecutor*> sLate{ nullptr };
  for (int number = 0; number < 2; number++) {
    PlainExecutor& executor = site.add({ .workMs = 3000 });
    executor.stopTakesMs = kStopMs - 100;
    executor.leavesUnanswered = [aHasTrouble](PlainExecutor& aExecutor) {
      PlainExecutor* nobody = nullptr;
      sLate.compare_exchange_strong(nobody, &aExecutor);
      return aHasTrouble && sLate == &aExecutor;
    };
  }
  if (!site.start(manifest(7))) {
    return 2;
  }
  for (const auto& executor : site.executors) {
    executor->boot();
  }
  sleepMs(4000);
  if (site.client->send("POST", kJob, jobOf("tally the dues", 1, 4000, 3000, false).dump()).status != 200) {
    return 2;
  }
  const std::int64_t shrinkAt = steadyMs() + kLateMs;
  bool hasShrunk = !aHasTrouble;
  bool isBroken = false;
  for (const std::int64_t until = steadyMs() + 15000; steadyMs() < until; sleepMs(5)) {
    if (!hasShrunk && steadyMs() >= shrinkAt && sLate != nullptr) {
      hasShrunk = true;
      sLate.load()->shrink(kShrunkCpu);
    }
    const std::vector<PlainExecutor::Begun> first = site.executors[0]->atWork();
    const std::vector<PlainExecutor::Begun> second = site.executors[1]->atWork();
    if (!first.empty() && !second.empty() && !std::exchange(isBroken, true)) {
      RECORD("two runs of %s at the same time: %lld on %s, %lld on %s",
             first[0].task.c_str(),
             static_cast<long long>(first[0].run),
             site.executors[0]->id().c_str(),
             static_cast<long long>(second[0].run),
             site.executors[1]->id().c_str());
    }
  }
  site.client->state(kJob);
  return site.status(!isBroken);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return runCase(aCount, aArguments, run);
}
