// A small deployment: three VMs with a disk that run control and gateway, and some VMs with a relay and an executor.
#pragma once

#include "standin.h"

namespace standin {

class SmallSite
{
public:
  SmallSite(Deployment& aDeployment, int aExecutors, std::int64_t aCpu)
    : deployment(aDeployment)
  {
    for (int number = 1; number <= 3; number++) {
      core.push_back(aDeployment.machine("edge-" + std::to_string(number)));
    }
    for (int number = 1; number <= aExecutors; number++) {
      sides.push_back(aDeployment.machine("side-" + std::to_string(number)));
    }
    aDeployment.seeds = core;
    for (const Deployment::Machine& machine : sides) {
      executors.push_back(std::make_unique<Executor>(
        world, "i-" + machine.name, aDeployment.app(machine), aDeployment.control(machine), aCpu));
      executors.back()->service = "basket-desk";
    }
  }

  /** Starts everything and sends the first manifest; false when the site does not come up. */
  bool start(int aMaxAttempts = 3)
  {
    for (const Deployment::Machine& machine : core) {
      deployment.startControl(machine, true);
      deployment.startGateway(machine);
    }
    for (const Deployment::Machine& machine : sides) {
      deployment.startRelay(machine);
    }
    for (const std::unique_ptr<Executor>& executor : executors) {
      executor->boot();
    }
    std::vector<Address> controls;
    std::vector<Address> fronts;
    for (const Deployment::Machine& machine : core) {
      controls.push_back(deployment.control(machine));
      fronts.push_back(deployment.front(machine));
    }
    client = std::make_unique<Client>(fronts);
    if (!putManifest(controls, manifest(1, aMaxAttempts), 20000)) {
      RECORD("no manifest was acknowledged");
      return false;
    }
    // Until all gateways are ready and the relays have registered their executors.
    for (const std::int64_t until = steadyMs() + 15000; steadyMs() < until; sleepMs(100)) {
      const bool isReady = std::all_of(core.begin(), core.end(), [this](const Deployment::Machine& aMachine) {
        return httpCall(deployment.ready(aMachine), "GET", "/-/readyz", aMachine.ip, "", 500).status == 200;
      });
      if (isReady) {
        sleepMs(2 * kHeartbeatMs);
        return true;
      }
    }
    RECORD("the gateways are not ready");
    return false;
  }

  Deployment& deployment;
  World world;
  std::vector<Deployment::Machine> core;
  std::vector<Deployment::Machine> sides;
  std::vector<std::unique_ptr<Executor>> executors;
  std::unique_ptr<Client> client;
};

} // namespace standin
