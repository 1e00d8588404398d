// All three machines of the core are replaced, one after the other; the settings files change without a signal.
#include "small.h"

using namespace standin;

namespace {

int
run(Deployment& aDeployment, bool aHasTrouble)
{
  SmallSite& site = *new SmallSite(aDeployment, 2, 8000);
  site.world.planOf = [](const std::string&) { return TaskPlan{ .workMs = 1000 }; };
  if (!site.start()) {
    return 2;
  }
  const json job = { { "Spec", "tally" },
                     { "Steps", { { { "Count", 2 }, { "Cpu", 500 }, { "MemMb", 256 }, { "EstimateMs", 1000 } } } } };
  const auto isCompleted = [&site](const std::string& aId, std::int64_t aTimeoutMs) {
    std::string state;
    for (const std::int64_t until = steadyMs() + aTimeoutMs; steadyMs() < until && state != "completed";
         sleepMs(500)) {
      state = site.client->state(aId);
    }
    return state == "completed";
  };
  if (!site.client->submit("00000000000000b1", job) || !isCompleted("00000000000000b1", 15000)) {
    return 2;
  }
  // The machines are replaced with both of their roles. The relays, beside the executors, stay.
  std::vector<Deployment::Machine> present = site.core;
  for (int round = 0; round < 3; round++) {
    if (!aHasTrouble) {
      sleepMs(12000);
      continue;
    }
    // The leader goes last.
    std::size_t chosen = present.size();
    for (std::size_t index = 0; index < present.size(); index++) {
      const bool isOld = present[index].name.starts_with("edge-");
      if (isOld && (chosen == present.size() || aDeployment.isControlLeader(present[chosen]))) {
        chosen = index;
      }
    }
    const Deployment::Machine gone = present[chosen];
    RECORD("%s is removed for good", gone.name.c_str());
    aDeployment.signal(gone, "control", SIGKILL);
    aDeployment.signal(gone, "gateway", SIGKILL);
    sleepMs(1000);
    const Deployment::Machine added = aDeployment.machine("new-" + std::to_string(round + 1));
    present[chosen] = added;
    aDeployment.seeds = present;
    aDeployment.startControl(added, false);
    aDeployment.startGateway(added);
    aDeployment.rewriteSettings();
    // Longer than CatchUpS (4 s) and ContactMs (3 s), so that the machines are lost one at a time.
    sleepMs(11000);
  }
  std::vector<Address> fronts;
  for (const Deployment::Machine& machine : present) {
    fronts.push_back(aDeployment.front(machine));
  }
  site.client = std::make_unique<Client>(fronts);
  int leaders = 0;
  for (const Deployment::Machine& machine : present) {
    leaders += aDeployment.isControlLeader(machine) ? 1 : 0;
  }
  RECORD("%d control leader among %s, %s, %s",
         leaders,
         present[0].name.c_str(),
         present[1].name.c_str(),
         present[2].name.c_str());
  if (leaders != 1 || !site.client->submit("00000000000000b2", job, 15000)) {
    RECORD("the last job was not accepted");
    return 2;
  }
  // The executors are up all the while, so the job's tasks have their turn and room.
  const bool isDone = isCompleted("00000000000000b2", 30000);
  const std::string ended = aDeployment.endedByItself();
  RECORD("the last job %s; %s", isDone ? "completed" : "did not complete", ended.c_str());
  return !ended.empty() ? 2 : isDone ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return runCase(aCount, aArguments, run);
}
