// Another writer's status report, of a service that no manifest names, reaches each relay once.
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
  if (!site.client->submit("00000000000000a1", job) || !isCompleted("00000000000000a1", 15000)) {
    return 2;
  }
  if (aHasTrouble) {
    for (std::size_t index = 0; index < site.sides.size(); index++) {
      const Address control = aDeployment.control(site.sides[index]);
      // Nothing listens at the address that the report gives.
      const Address other{ site.sides[index].ip, aDeployment.app(site.sides[index]).port + 20 };
      const json report = { { "Service", "some-other-service" },
                            { "Address", other.text() },
                            { "Zone", "z1" },
                            { "Version", "v1" },
                            { "Slots", 8 },
                            { "State", "ready" },
                            { "ColdRemainingMs", 0 },
                            { "Capacity", { { "Cpu", 8000 }, { "MemMb", 128000 }, { "Gpu", 0 } } },
                            { "Labels", { "a", "r1-1" } },
                            { "ClockMs", 100 },
                            { "Seq", 1 },
                            { "born", wallMs() } };
      const std::string path = "/-/instances/x-other-" + std::to_string(index + 1);
      const Reply reply = httpCall(control, "PUT", path, control.text(), report.dump(), 1000);
      RECORD("another writer: PUT %s at %s answered %d", path.c_str(), control.text().c_str(), reply.status);
    }
    sleepMs(1000);
  }
  if (!site.client->submit("00000000000000a2", job)) {
    RECORD("the second job was not accepted");
    return 2;
  }
  // The executors are up and send status reports all the while, so the job's tasks have their turn and room.
  const bool isDone = isCompleted("00000000000000a2", 40000);
  const std::string ended = aDeployment.endedByItself();
  RECORD("second job %s; %s", isDone ? "completed" : "not completed 40 s after its acceptance", ended.c_str());
  const bool areUp = std::all_of(site.executors.begin(), site.executors.end(), [](const auto& aExecutor) {
    return aExecutor->isUp();
  });
  if (!ended.empty() || !areUp) {
    return 2;
  }
  return isDone ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return runCase(aCount, aArguments, run);
}
