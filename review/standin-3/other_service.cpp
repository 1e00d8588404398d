// A manifest names another service for a queue whose accepted jobs wait for room at the old one.
#include "executor.h"

using namespace standin;

namespace {

json
routes(std::int64_t aVersion, const char* aService)
{
  json result = manifest(aVersion);
  json watch = result["Routes"][0];
  watch["Name"] = "r-watch";
  watch["PathPrefix"] = "/watch/";
  watch["Service"] = "old-desk";
  result["Routes"][0]["Service"] = aService;
  result["Routes"].push_back(watch);
  json old = result["Services"][0];
  old["Name"] = "old-desk";
  result["Services"].push_back(old);
  return result;
}

int
run(Deployment& aDeployment, bool aHasTrouble)
{
  PlainSite& site = *new PlainSite(aDeployment);
  site.add({ .service = "old-desk", .workMs = 1000000 });
  for (int number = 0; number < 3; number++) {
    site.add({});
  }
  // Without the disruption the queue has its service from the start.
  if (!site.start(routes(7, aHasTrouble ? "old-desk" : "basket-desk"))) {
    return 2;
  }
  for (const auto& executor : site.executors) {
    executor->boot();
  }
  sleepMs(4000);
  const Reply watch = httpCall(site.fronts[0],
                               "POST",
                               "/watch/00000000000000a1",
                               "desk.example",
                               jobOf("watch the lockers", 1, 7000, 500, true).dump(),
                               3000,
                               "Deadline-Ms: 3000\r\n");
  RECORD("client: POST /watch/00000000000000a1, which takes the executor of old-desk, answered %d", watch.status);
  sleepMs(1000);
  const std::string confirm = jobOf("confirm the pickup", 2, 2000, 500, false).dump();
  const int early = site.client->send("POST", "00000000000000b1", confirm).status;
  sleepMs(1000);
  if (aHasTrouble && !putManifest(site.controls, routes(9, "basket-desk"), 10000)) {
    return 2;
  }
  sleepMs(3000);
  const int late = site.client->send("POST", "00000000000000b2", confirm, 1).status;
  if (watch.status != 200 || early != 200 || late != 200) {
    return 2;
  }
  // finish_s after the last request, and 10 s with nothing running on idle executors.
  sleepMs(kFinishMs + 10000);
  const std::string lateState = site.client->state("00000000000000b2");
  const std::string earlyState = site.client->state("00000000000000b1");
  for (const auto& executor : site.executors) {
    RECORD("%zu runs on %s", executor->atWork().size(), executor->id().c_str());
  }
  return lateState == "completed" ? site.status(earlyState == "completed") : 2;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return runCase(aCount, aArguments, run);
}
