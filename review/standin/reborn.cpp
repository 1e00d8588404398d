// An executor crashes and starts again under its id; it listens for 1.4 s before its first status report.
#include "small.h"

using namespace standin;

namespace {

/** Below HeartbeatMs. */
constexpr std::int64_t kFirstBeatMs = 1400;
constexpr std::int64_t kDownMs = 4000;

int
run(Deployment& aDeployment, bool aHasTrouble)
{
  SmallSite& site = *new SmallSite(aDeployment, 2, 4000);
  site.world.planOf = [](const std::string&) { return TaskPlan{ .workMs = 1000 }; };
  if (!site.start()) {
    return 2;
  }
  const auto job = [](int aCount) -> json {
    return { { "Spec", "tally" },
             { "Steps", { { { "Count", aCount }, { "Cpu", 500 }, { "MemMb", 256 }, { "EstimateMs", 1000 } } } } };
  };
  const auto isCompleted = [&site](const std::string& aId, std::int64_t aTimeoutMs) {
    std::string state;
    for (const std::int64_t until = steadyMs() + aTimeoutMs; steadyMs() < until && state != "completed";
         sleepMs(500)) {
      state = site.client->state(aId);
    }
    return state == "completed";
  };
  if (!site.client->submit("00000000000000c1", job(12)) || !isCompleted("00000000000000c1", 20000)) {
    return 2;
  }
  sleepMs(1000);
  if (aHasTrouble) {
    site.executors[0]->firstBeatMs = kFirstBeatMs;
    site.executors[0]->crash();
    sleepMs(kDownMs);
    site.executors[0]->boot();
  }
  sleepMs(kFirstBeatMs + 2 * kContactMs);
  if (!site.client->submit("00000000000000c2", job(4))) {
    return 2;
  }
  const bool isDone = isCompleted("00000000000000c2", 40000);
  const std::string ended = aDeployment.endedByItself();
  // TWICE: a start after a run of the task has ended done.
  std::set<std::string> done;
  int again = 0;
  for (const RunEvent& event : site.world.events()) {
    if (event.kind == "end" && event.how == "done") {
      done.insert(event.task);
    }
    again += event.kind == "start" && done.contains(event.task) ? 1 : 0;
  }
  RECORD("second job %s; %d starts of tasks that had ended done; %s",
         isDone ? "completed" : "not completed",
         again,
         ended.c_str());
  if (!ended.empty()) {
    return 2;
  }
  return again > 0 ? 1 : isDone ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return runCase(aCount, aArguments, run);
}
