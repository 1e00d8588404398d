// An executor that crashes soon after its start starts again with an earlier `born`, since the time of day of its machine
// has jumped back between.
#include "executor.h"

using namespace standin;

namespace {

constexpr std::int64_t kJumpMs = 2400;
const char* const kJob = "5c0e7a21d94b36f8";

int
run(Deployment& aDeployment, bool aHasTrouble)
{
  PlainSite& site = *new PlainSite(aDeployment);
  for (int number = 0; number < 7; number++) {
    site.add({ .kind = "a" });
  }
  PlainExecutor& only = site.add({ .kind = "b" });
  if (!site.start(manifest(7))) {
    return 2;
  }
  for (int number = 0; number < 7; number++) {
    site.executors[static_cast<std::size_t>(number)]->boot();
  }
  sleepMs(3000);
  if (aHasTrouble) {
    RECORD("the time of day on the machine of %s jumps ahead by %lld ms", only.id().c_str(), static_cast<long long>(kJumpMs));
  }
  only.boot(aHasTrouble ? kJumpMs : 0);
  sleepMs(800);
  only.crash();
  RECORD("the time of day on the machine of %s is true", only.id().c_str());
  sleepMs(1000);
  // It may start again under the id that it had, and knows nothing of before.
  only.boot();
  sleepMs(5000);
  if (site.client->send("POST", kJob, jobOf("confirm the pickup", 2, 1000, 500, false, "b").dump()).status != 200) {
    return 2;
  }
  // finish_s after the last request, and 10 s with nothing running on idle executors.
  sleepMs(kFinishMs + 10000);
  const std::string state = site.client->state(kJob);
  RECORD("state %s; %zu starts on %s", state.c_str(), only.begun().size(), only.id().c_str());
  return site.status(state == "completed");
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return runCase(aCount, aArguments, run);
}
