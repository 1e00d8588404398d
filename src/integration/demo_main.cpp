#include "cli/cli.h"
#include "integration/integration.h"
#include "testbench/LoadGenerator.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(shape, "guild", "deployment: guild or delta");
DEFINE_string(programs, "build", "folder with the built programs");
DEFINE_string(run_folder, "run/demo", "folder for settings, data, logs and histories; emptied");
DEFINE_string(catalogue, "", "catalogue file; by default that of the example deployment");
DEFINE_int32(controls, 3, "control VMs; with one, no control process is killed");
DEFINE_int32(executors, 4, "executors");
DEFINE_int32(workers, 4, "workers");
DEFINE_double(rate, 200, "caller requests per second");
DEFINE_int64(load_ms, 6000, "how long requests are sent");
DEFINE_int64(kill_after_ms, 2000, "time after which the control leader is killed");

namespace {

using namespace magnoliadrum;

constexpr std::int64_t kReadyLimitMs = 20000;
constexpr std::int64_t kTaskLimitMs = 30000;
constexpr std::int64_t kPollMs = 100;
constexpr std::int64_t kClientTimeoutMs = 10000;

/** One step of the demo; prints what it does and reports failure. */
class Demo
{
public:
  Demo(Deployment& aDeployment, GatewayClient& aClient, std::string aBatchEntry)
    : mDeployment(aDeployment)
    , mClient(aClient)
    , mBatchEntry(std::move(aBatchEntry))
  {
  }

  bool run()
  {
    return waitUntilReady() && applyCatalogue() && waitForTargets() && submitTask() &&
           sendRequests() && waitForTask() && showStandingTasks();
  }

private:
  ExitStatus command(const std::vector<std::string>& aWords, bool aWait = false)
  {
    CommandOptions options;
    options.mWait = aWait;
    CommandLine commandLine(mClient, options, std::cout, std::cerr);
    return commandLine.run(aWords);
  }

  template<typename Condition>
  bool waitFor(const char* aWhat, std::int64_t aLimitMs, Condition aCondition)
  {
    const Deadline deadline = MonotonicTime::now().plusMs(aLimitMs);
    while (MonotonicTime::now() < deadline) {
      if (aCondition()) {
        return true;
      }
      mClient.sleepMs(kPollMs);
    }
    std::cerr << "demo: " << aWhat << " did not happen in time\n";
    return false;
  }

  bool waitUntilReady()
  {
    std::cout << "== waiting for a control leader\n";
    return waitFor("a control leader", kReadyLimitMs, [this]() {
      const Result<GatewayAnswer> answer = mClient.request("GET", "/v1/status");
      return isOk(answer) && valueOf(answer).isSuccess();
    });
  }

  bool applyCatalogue()
  {
    std::cout << "== applying the catalogue\n";
    const std::string file =
      FLAGS_catalogue.empty() ? "examples/" + FLAGS_shape + "/catalogue.json" : FLAGS_catalogue;
    return command({ "apply", file }, true) == ExitStatus::eSuccess;
  }

  bool waitForTargets()
  {
    const std::size_t expected = FLAGS_executors + FLAGS_workers + mDeployment.shape().mGateways;
    return waitFor("all targets' sessions", kReadyLimitMs, [this, expected]() {
      const Result<GatewayAnswer> answer = mClient.request("GET", "/v1/status");
      return isOk(answer) &&
             valueOf(answer).mBody.value("sessions", nlohmann::json::array()).size() >= expected;
    });
  }

  bool submitTask()
  {
    std::cout << "== submitting a batch task twice under the same run key\n";
    return command({ "submit", mBatchEntry, "demo-run" }) == ExitStatus::eSuccess &&
           command({ "submit", mBatchEntry, "demo-run" }) == ExitStatus::eSuccess;
  }

  std::string leaderName()
  {
    const Result<GatewayAnswer> answer = mClient.request("GET", "/v1/status");
    if (!isOk(answer) || !valueOf(answer).isSuccess()) {
      return "";
    }
    const nlohmann::json& status = valueOf(answer).mBody;
    for (const nlohmann::json& replica : status.value("replicas", nlohmann::json::array())) {
      if (replica.value("replicaId", "") != status.value("leaderId", "-")) {
        continue;
      }
      for (const std::string& name : mDeployment.controlNames()) {
        if (mDeployment.controlAddress(name) == replica.value("address", "")) {
          return name;
        }
      }
    }
    return "";
  }

  bool sendRequests()
  {
    const std::string leader = leaderName();
    std::cout << "== sending " << FLAGS_rate << " requests/s for " << FLAGS_load_ms
              << " ms; the control leader " << leader << " is killed after " << FLAGS_kill_after_ms
              << " ms\n";
    const std::unique_ptr<EventLoop> loop = takeValue(EventLoop::create());
    LoadOptions options;
    options.mGateways = mDeployment.gatewayAddresses();
    options.mEntryName = mDeployment.shape().mServiceEntry;
    options.mRequestsPerSecond = FLAGS_rate;
    options.mDurationMs = FLAGS_load_ms;
    options.mNonRepeatableShare = 0.1;
    options.mHistoryFile = mDeployment.runFolder() + "/callers.history.jsonl";
    Result<std::unique_ptr<LoadGenerator>> generator = LoadGenerator::create(*loop, options);
    if (!isOk(generator)) {
      std::cerr << errorOf(generator).text() << "\n";
      return false;
    }
    const EventHandlePointer killer =
      loop->runAt(loop->now().plusMs(FLAGS_kill_after_ms), [this, leader]() {
        if (FLAGS_controls > 1 && !leader.empty()) {
          mDeployment.process(leader).kill();
        }
      });
    valueOf(generator)->start([&loop]() { loop->stop(); });
    loop->run();
    return report(valueOf(generator)->result()) && (FLAGS_controls == 1 || !leader.empty());
  }

  static bool report(const LoadResult& aResult)
  {
    std::cout << "requests " << aResult.mSent << ": done " << aResult.mDone << ", not run "
              << aResult.mNotRun << ", unknown " << aResult.mUnknown << ", no answer "
              << aResult.mNoAnswer << ", mixed up " << aResult.mMixedUp << "\n"
              << "latency of done requests: p50 " << aResult.mLatency.quantile(0.5) << " ms, p99 "
              << aResult.mLatency.quantile(0.99) << " ms, p99.9 "
              << aResult.mLatency.quantile(0.999) << " ms\n";
    return aResult.mDone > 0 && aResult.mMixedUp == 0;
  }

  bool waitForTask()
  {
    std::cout << "== waiting for the batch task\n";
    const std::string path = "/v1/tasks?entry=" + mBatchEntry;
    const bool published = waitFor("the task's publication", kTaskLimitMs, [&]() {
      const Result<GatewayAnswer> answer = mClient.request("GET", path);
      if (!isOk(answer)) {
        return false;
      }
      const nlohmann::json tasks = valueOf(answer).mBody.value("tasks", nlohmann::json::array());
      return tasks.size() == 1 && tasks[0].value("state", "") == "published";
    });
    command({ "tasks" });
    return published;
  }

  bool showStandingTasks()
  {
    std::cout << "== control group after the loss of the leader\n";
    return command({ "status" }) == ExitStatus::eSuccess &&
           command({ "report" }) == ExitStatus::eSuccess;
  }

  Deployment& mDeployment;
  GatewayClient& mClient;
  std::string mBatchEntry;
};

int
runDemo()
{
  const bool isGuild = FLAGS_shape == "guild";
  const DeploymentShape shape = isGuild ? DeploymentShape::guild() : DeploymentShape::delta();
  DeploymentOptions options;
  options.mProgramFolder = FLAGS_programs;
  options.mRunFolder = FLAGS_run_folder;
  options.mShape = shape.withTargets(FLAGS_executors, FLAGS_workers);
  options.mShape.mControls = FLAGS_controls;
  Result<std::unique_ptr<Deployment>> deployment = Deployment::create(options);
  if (!isOk(deployment)) {
    std::cerr << errorOf(deployment).text() << "\n";
    return 1;
  }
  const Result<Done> started = valueOf(deployment)->startAll();
  if (!isOk(started)) {
    std::cerr << errorOf(started).text() << "\n";
    return 1;
  }
  Result<std::unique_ptr<GatewayClient>> client =
    GatewayClient::create(valueOf(deployment)->gatewayAddresses(), kClientTimeoutMs);
  Demo demo(*valueOf(deployment), *valueOf(client), isGuild ? "route-plan" : "reconciliation");
  const bool passed = demo.run();
  std::cout << "== stopping all processes\n";
  const Result<Done> stopped = valueOf(deployment)->stopAll();
  if (!isOk(stopped)) {
    std::cerr << errorOf(stopped).text() << "\n";
  }
  std::cout << (passed && isOk(stopped) ? "demo passed\n" : "demo failed\n");
  return passed && isOk(stopped) ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aValues)
{
  gflags::SetUsageMessage("Starts a small deployment on loopback and shows what it does.");
  gflags::ParseCommandLineFlags(&aCount, &aValues, true);
  return runDemo();
}
