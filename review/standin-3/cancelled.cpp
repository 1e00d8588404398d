// A machine that took a job from its client freezes. The client gives the job up and cancels it at another node.
#include "executor.h"

using namespace standin;

namespace {

constexpr std::int64_t kFreezeMs = 3400;
const char* const kJob = "5c0e7a21d94b36f8";

int
run(Deployment& aDeployment, bool aHasTrouble)
{
  PlainSite& site = *new PlainSite(aDeployment);
  for (int number = 0; number < 6; number++) {
    // Tasks that last.
    site.add({ .workMs = 1000000 });
  }
  if (!site.start(manifest(7))) {
    return 2;
  }
  // A machine without a disk, which runs nothing but a gateway: the freeze of this process is that of the machine.
  const Deployment::Machine entry = aDeployment.machine("edge-4");
  aDeployment.startGateway(entry);
  for (const auto& executor : site.executors) {
    executor->boot();
  }
  sleepMs(4000);
  if (httpCall(aDeployment.ready(entry), "GET", "/-/readyz", entry.ip, "", 500).status != 200) {
    return 2;
  }
  std::int64_t thawAt = 0;
  if (aHasTrouble) {
    aDeployment.signal(entry, "gateway", SIGSTOP);
    thawAt = steadyMs() + kFreezeMs;
  }
  // The client's time budget is 3,000 ms.
  const Reply accepted = httpCall(aDeployment.front(entry),
                                  "POST",
                                  std::string("/jobs/") + kJob,
                                  "desk.example",
                                  jobOf("watch the lockers", 2, 1000, 500, true).dump(),
                                  3000,
                                  "Deadline-Ms: 3000\r\n");
  RECORD("client: POST %s at edge-4 answered %d (0: no response)", kJob, accepted.status);
  const Reply cancelled = site.client->send("DELETE", kJob, "", 1);
  const std::int64_t acknowledgedAt = steadyMs();
  if ((cancelled.status != 200 && cancelled.status != 410) || (accepted.status == 0) != aHasTrouble ||
      (aHasTrouble && acknowledgedAt >= thawAt)) {
    return 2;
  }
  RECORD("the cancelling is acknowledged");
  if (aHasTrouble) {
    sleepMs(thawAt - steadyMs());
    aDeployment.signal(entry, "gateway", SIGCONT);
  }
  // Nothing is disturbed for 19 s, much longer than cancel_ms, StopMs and ContactMs together.
  sleepMs(acknowledgedAt + 20000 - steadyMs());
  site.client->send("GET", kJob, "", 1);
  std::size_t atWork = 0;
  for (const auto& executor : site.executors) {
    for (const PlainExecutor::Begun& begun : executor->atWork()) {
      RECORD("%s is at work on %s %lld ms after the acknowledgement",
             begun.task.c_str(),
             executor->id().c_str(),
             static_cast<long long>(steadyMs() - acknowledgedAt));
      atWork++;
    }
  }
  return site.status(atWork == 0);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return runCase(aCount, aArguments, run);
}
