// A task crashes each executor that starts it, before the start is answered. At its first start the relay beside the
// executor is killed as well, as when a machine runs out of memory, and is restarted after half a second. It is killed
// once more shortly before that executor is back, and is down for 3 s.
#include "../standin/small.h"

using namespace standin;

namespace {

constexpr std::int64_t kDownMs = 4500;
constexpr std::int64_t kRelayDownMs = 500;
/** From the first kill of the relay to the second, and how long the relay is down then. */
constexpr std::int64_t kSecondKillMs = 4000;
constexpr std::int64_t kSecondRelayDownMs = 3000;
constexpr int kExecutors = 3;
const char* const kDeadlyJob = "5c0e7a21d94b36f8";

/** An executor that holds no run: each start crashes it, and it is back after kDownMs under the same id. */
class CrashingExecutor
{
public:
  std::function<void(int aNumber, std::int64_t aRun)> onCrash;

  CrashingExecutor(int aNumber, Address aApp, Address aControl)
    : mNumber(aNumber)
    , mId("i-" + std::to_string(aNumber))
    , mApp(std::move(aApp))
    , mControl(std::move(aControl))
  {
    std::thread([this]() { serveLoop(); }).detach();
    std::thread([this]() { beatLoop(); }).detach();
  }

private:
  void serveLoop()
  {
    for (;;) {
      const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const int on = 1;
      ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
      const sockaddr_in address = socketAddress(mApp);
      if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
          ::listen(listener, 64) != 0) {
        RECORD("executor %s cannot listen", mId.c_str());
        return;
      }
      mBorn = wallMs();
      mBootedAt = steadyMs();
      mFence = 0;
      mSeq = 0;
      mLife++;
      mUp = true;
      RECORD("executor %s is up, born %lld", mId.c_str(), static_cast<long long>(mBorn));
      std::vector<std::thread> connections;
      while (mUp) {
        pollfd poller{ listener, POLLIN, 0 };
        if (::poll(&poller, 1, 5) > 0) {
          const int connection = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
          if (connection >= 0) {
            connections.emplace_back([this, connection]() { serve(connection); });
          }
        }
      }
      ::close(listener);
      for (std::thread& connection : connections) {
        connection.join();
      }
      sleepMs(kDownMs);
    }
  }

  void serve(int aConnection)
  {
    const int on = 1;
    ::setsockopt(aConnection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::string buffer;
    HttpMessage request;
    while (mUp) {
      if (!readMessage(aConnection, buffer, request, steadyMs() + 20)) {
        char byte = 0;
        const ssize_t count = ::recv(aConnection, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (count == 0 || (count < 0 && errno != EAGAIN)) {
          break;
        }
        continue;
      }
      if (!mUp) {
        break;
      }
      const auto [status, body] = handle(request);
      const std::string text = body.dump();
      if (!mUp || !writeAll(aConnection,
                            "HTTP/1.1 " + std::to_string(status) +
                              " X\r\nContent-Type: application/json\r\nContent-Length: " +
                              std::to_string(text.size()) + "\r\n\r\n" + text)) {
        break;
      }
    }
    const linger abort{ 1, 0 };
    ::setsockopt(aConnection, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    ::close(aConnection);
  }

  std::pair<int, json> handle(const HttpMessage& aRequest)
  {
    if (const std::string instance = aRequest.header("expect-instance"); !instance.empty() && instance != mId) {
      return { 421, json::object() };
    }
    const json body = json::parse(aRequest.body, nullptr, false);
    if (!body.is_object()) {
      return { 400, json::object() };
    }
    json answer = { { "ClockMs", clock() }, { "born", mBorn.load() } };
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      const std::int64_t fence = body.value("Fence", std::int64_t{ 0 });
      if (fence < mFence) {
        answer["Reason"] = "fence";
        return { 409, answer };
      }
      mFence = fence;
    }
    if (aRequest.start.find("/-/run-start") != std::string::npos) {
      if (body.value("DeadlineMs", std::int64_t{ 0 }) <= clock()) {
        answer["Reason"] = "late";
        return { 409, answer };
      }
      if (mUp.exchange(false)) {
        const std::int64_t run = body.value("Run", std::int64_t{ 0 });
        RECORD("executor %s starts %s run %lld, which crashes it",
               mId.c_str(),
               body.value("Task", "").c_str(),
               static_cast<long long>(run));
        onCrash(mNumber, run);
      }
      return { 200, answer };
    }
    if (aRequest.start.find("/-/hold") != std::string::npos) {
      const std::int64_t until = steadyMs() + std::min<std::int64_t>(2000, body.value("WaitMs", std::int64_t{ 0 }));
      while (steadyMs() < until && mUp) {
        sleepMs(5);
      }
      answer["ClockMs"] = clock();
      answer["Running"] = json::array();
      answer["EndedRuns"] = json::array();
    }
    return { 200, answer };
  }

  void beatLoop()
  {
    int life = 0;
    std::int64_t nextBeat = 0;
    for (;;) {
      sleepMs(5);
      if (!mUp || (life == mLife && steadyMs() < nextBeat)) {
        continue;
      }
      life = mLife;
      const json beat = { { "Service", "basket-desk" },
                          { "Address", mApp.text() },
                          { "Zone", "z1" },
                          { "Version", "v1" },
                          { "Slots", 8 },
                          { "State", "ready" },
                          { "ColdRemainingMs", 0 },
                          { "Capacity", { { "Cpu", 8000 }, { "MemMb", 32000 }, { "Gpu", 0 } } },
                          { "Labels", { "a", "r1-" + std::to_string(mNumber) } },
                          { "ClockMs", clock() },
                          { "Seq", ++mSeq },
                          { "born", mBorn.load() } };
      const Reply reply = httpCall(mControl, "PUT", "/-/instances/" + mId, mControl.text(), beat.dump(), 1000);
      nextBeat = steadyMs() + (reply.status / 100 == 2 ? kHeartbeatMs : 250);
    }
  }

  std::int64_t clock() const { return steadyMs() - mBootedAt + 5000; }

  int mNumber;
  std::string mId;
  Address mApp;
  Address mControl;
  std::atomic<bool> mUp{ false };
  std::atomic<int> mLife{ 0 };
  std::atomic<std::int64_t> mBorn{ 0 };
  std::atomic<std::int64_t> mBootedAt{ 0 };
  std::atomic<std::int64_t> mSeq{ 0 };
  std::mutex mMutex;
  std::int64_t mFence = 0;
};

struct Start
{
  std::int64_t at = 0;
  int executor = 0;
  std::int64_t run = 0;
};

int
run(Deployment& aDeployment, bool aHasTrouble)
{
  SmallSite& site = *new SmallSite(aDeployment, 0, 0);
  for (int number = 1; number <= kExecutors; number++) {
    site.sides.push_back(aDeployment.machine("side-" + std::to_string(number)));
  }
  static std::mutex sMutex;
  static std::vector<Start> sStarts;
  std::vector<CrashingExecutor*> executors;
  for (int number = 1; number <= kExecutors; number++) {
    const Deployment::Machine machine = site.sides[static_cast<std::size_t>(number - 1)];
    executors.push_back(
      new CrashingExecutor(number, aDeployment.app(machine), aDeployment.control(machine)));
    executors.back()->onCrash = [](int aNumber, std::int64_t aRun) {
      const std::lock_guard<std::mutex> lock(sMutex);
      sStarts.push_back({ steadyMs(), aNumber, aRun });
    };
  }
  if (!site.start()) {
    return 2;
  }
  sleepMs(1500);
  const json job = { { "Spec", "deadly" },
                     { "Steps", { { { "Count", 1 }, { "Cpu", 1000 }, { "MemMb", 256 }, { "EstimateMs", 1000 } } } } };
  if (!site.client->submit(kDeadlyJob, job)) {
    return 2;
  }
  // When the relay of a machine was last killed or started again; 0: never.
  std::vector<std::int64_t> relayTouchedAt(kExecutors + 1, 0);
  std::int64_t relayDueAt = 0;
  std::int64_t secondKillAt = 0;
  int killed = 0;
  std::string state;
  std::int64_t nextLook = 0;
  for (const std::int64_t until = steadyMs() + 85000; steadyMs() < until; sleepMs(1)) {
    std::vector<Start> starts;
    {
      const std::lock_guard<std::mutex> lock(sMutex);
      starts = sStarts;
    }
    if (aHasTrouble && killed == 0 && !starts.empty()) {
      killed = starts.front().executor;
      aDeployment.signal(site.sides[static_cast<std::size_t>(killed - 1)], "relay", SIGKILL);
      relayTouchedAt[static_cast<std::size_t>(killed)] = steadyMs();
      relayDueAt = steadyMs() + kRelayDownMs;
      secondKillAt = steadyMs() + kSecondKillMs;
    }
    if (secondKillAt != 0 && steadyMs() >= secondKillAt) {
      secondKillAt = 0;
      aDeployment.signal(site.sides[static_cast<std::size_t>(killed - 1)], "relay", SIGKILL);
      relayTouchedAt[static_cast<std::size_t>(killed)] = steadyMs();
      relayDueAt = steadyMs() + kSecondRelayDownMs;
    }
    if (relayDueAt != 0 && steadyMs() >= relayDueAt) {
      relayDueAt = 0;
      aDeployment.startRelay(site.sides[static_cast<std::size_t>(killed - 1)]);
      relayTouchedAt[static_cast<std::size_t>(killed)] = steadyMs();
    }
    if (steadyMs() >= nextLook) {
      nextLook = steadyMs() + 1000;
      state = site.client->state(kDeadlyJob);
      if (state == "failed" || starts.size() >= 7) {
        break;
      }
    }
  }
  // BUDGET: three more starts, by machines in touch, after three executors have crashed under the task. Each start has
  // crashed its executor.
  int more = 0;
  {
    const std::lock_guard<std::mutex> lock(sMutex);
    for (std::size_t index = 3; index < sStarts.size(); index++) {
      const std::int64_t touched = relayTouchedAt[static_cast<std::size_t>(sStarts[index].executor)];
      more += touched == 0 || sStarts[index].at - touched > kContactMs ? 1 : 0;
    }
    RECORD("%zu starts, each of which crashed its executor; %d by machines in touch after the third; the job is %s",
           sStarts.size(),
           more,
           state.c_str());
  }
  if (const std::string ended = aDeployment.endedByItself(); !ended.empty()) {
    RECORD("%s", ended.c_str());
    return 2;
  }
  if (sStarts.empty()) {
    return 2;
  }
  return more >= 3 ? 1 : 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return runCase(aCount, aArguments, run);
}
