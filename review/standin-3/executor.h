// A sound executor whose tasks all take the same time, or last. Beside the one of the first review it has a kind, a time of
// day that may have jumped, a room that shrinks, and a start order that it leaves unanswered and carries out late.
#pragma once

#include "../standin/standin.h"

#include <condition_variable>

namespace standin {

class PlainExecutor
{
public:
  struct Options
  {
    std::string id;
    Address app;
    Address control;
    std::string service = "basket-desk";
    std::string kind = "a";
    std::int64_t cpu = 8000;
    std::int64_t workMs = 500;
  };
  struct Begun
  {
    std::int64_t at = 0;
    std::string task;
    std::int64_t run = 0;
  };

  explicit PlainExecutor(Options aOptions)
    : mOptions(std::move(aOptions))
    , mCpu(mOptions.cpu)
  {
  }

  const std::string& id() const { return mOptions.id; }

  /** Begins a life. The machine's time of day is aJumpMs ahead. */
  void boot(std::int64_t aJumpMs = 0)
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mBorn = wallMs() + aJumpMs;
      mClockStart = std::chrono::steady_clock::now();
      mFence = 0;
      mLeaseUntil = 0;
      mSequence = 0;
      mEndCount = 0;
      mRuns.clear();
      mEnds.clear();
      mClosed.clear();
      mListener = listen();
      mLife++;
    }
    RECORD("executor %s is up, born %lld", id().c_str(), static_cast<long long>(mBorn));
    const int life = mLife;
    std::thread([this, life]() { acceptLoop(life); }).detach();
    std::thread([this, life]() { workLoop(life); }).detach();
    std::thread([this, life]() { reportLoop(life); }).detach();
  }

  /** The process ends at once: channels are reset, runs and everything known are gone. */
  void crash()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mLife++;
    RECORD("executor %s crashes", id().c_str());
    mRuns.clear();
    ::shutdown(mListener, SHUT_RDWR);
    ::close(mListener);
    const linger abort{ 1, 0 };
    for (const int connection : mConnections) {
      ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
      ::shutdown(connection, SHUT_RDWR);
    }
  }

  /** From the next report on it has less room. */
  void shrink(std::int64_t aCpu)
  {
    mCpu = aCpu;
    RECORD("executor %s has shrunk to %lld", id().c_str(), static_cast<long long>(aCpu));
  }

  std::vector<Begun> atWork() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    std::vector<Begun> runs;
    for (const auto& [task, run] : mRuns) {
      runs.push_back({ run.begunAt, task, run.number });
    }
    return runs;
  }
  std::vector<Begun> begun() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mBegun;
  }

  /** Asked for each start order: whether it is left unanswered. The first such order is carried out when the order to stop
   * its run comes. */
  std::function<bool(PlainExecutor& aExecutor, const std::string& aTask)> leavesUnanswered =
    [](PlainExecutor&, const std::string&) { return false; };
  std::int64_t stopTakesMs = 300;

private:
  struct Run
  {
    std::int64_t number = 0;
    std::int64_t begunAt = 0;
    std::int64_t began = 0;
    std::int64_t stopAt = 0;
  };

  using Answer = std::pair<int, json>;
  /** Status of an order that gets no answer. */
  static constexpr int kNoAnswer = 0;

  double exactClock() const
  {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - mClockStart).count() + 1;
  }
  std::int64_t clock() const { return static_cast<std::int64_t>(exactClock()); }
  bool isLife(int aLife) const { return mLife == aLife; }

  int listen()
  {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = socketAddress(mOptions.app);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(descriptor, 64) != 0) {
      RECORD("executor %s cannot listen: %s", id().c_str(), std::strerror(errno));
    }
    return descriptor;
  }

  void acceptLoop(int aLife)
  {
    const int listener = mListener;
    while (isLife(aLife)) {
      pollfd poller{ listener, POLLIN, 0 };
      if (::poll(&poller, 1, 50) <= 0) {
        continue;
      }
      const int connection = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection < 0) {
        continue;
      }
      const int on = 1;
      ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        mConnections.insert(connection);
      }
      std::thread([this, connection, aLife]() { serve(connection, aLife); }).detach();
    }
  }

  void serve(int aConnection, int aLife)
  {
    std::string buffer;
    HttpMessage request;
    while (isLife(aLife) && readMessage(aConnection, buffer, request, steadyMs() + 200000) && isLife(aLife)) {
      const Answer answer = handle(request, aLife);
      if (answer.first == kNoAnswer) {
        continue;
      }
      const std::string text = answer.second.dump();
      if (!writeAll(aConnection,
                    "HTTP/1.1 " + std::to_string(answer.first) +
                      " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) +
                      "\r\n\r\n" + text)) {
        break;
      }
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    mConnections.erase(aConnection);
    ::close(aConnection);
  }

  json base() const { return { { "ClockMs", clock() }, { "born", mBorn } }; }

  Answer refuse(const char* aReason) const
  {
    json body = base();
    body["Reason"] = aReason;
    return { 409, body };
  }

  Answer handle(const HttpMessage& aRequest, int aLife)
  {
    const std::size_t begin = aRequest.start.find(' ') + 1;
    const std::string path = aRequest.start.substr(begin, aRequest.start.rfind(' ') - begin);
    if (const std::string instance = aRequest.header("expect-instance"); !instance.empty() && instance != id()) {
      return { 421, base() };
    }
    const json body = json::parse(aRequest.body, nullptr, false);
    if (!body.is_object()) {
      return { 400, base() };
    }
    std::unique_lock<std::mutex> lock(mMutex);
    if (const std::int64_t fence = body.value("Fence", std::int64_t{ 0 }); fence < mFence) {
      return refuse("fence");
    } else {
      mFence = fence;
    }
    if (path == "/-/hold") {
      return hold(body, lock, aLife);
    }
    if (path == "/-/run-start") {
      if (leavesUnanswered(*this, body.value("Task", ""))) {
        RECORD("executor %s leaves the start of %s run %lld unanswered",
               id().c_str(),
               body.value("Task", "").c_str(),
               static_cast<long long>(body.value("Run", std::int64_t{ 0 })));
        mHeld = mHeld.is_null() ? body : mHeld;
        return { kNoAnswer, {} };
      }
      return begin_(body);
    }
    if (path == "/-/run-stop") {
      if (!mHeld.is_null() && mHeld["Task"] == body["Task"]) {
        return carryOutLate(body, lock);
      }
      return halt(body);
    }
    return path == "/-/pace" ? Answer(200, base()) : Answer(404, json::object());
  }

  Answer begin_(const json& aBody)
  {
    const std::string task = aBody.value("Task", "");
    const std::int64_t number = aBody.value("Run", std::int64_t{ 0 });
    const std::int64_t deadline = aBody.value("DeadlineMs", std::int64_t{ 0 });
    if (deadline <= clock()) {
      return refuse("late");
    }
    mLeaseUntil = std::max(mLeaseUntil, std::min(deadline, clock() + kMaxHoldMs));
    const auto known = mRuns.find(task);
    if (known != mRuns.end() && known->second.number == number) {
      return { 200, base() };
    }
    const auto closed = mClosed.find(task);
    if (known != mRuns.end() || (closed != mClosed.end() && number <= closed->second)) {
      return refuse("old");
    }
    mRuns[task] = { .number = number, .begunAt = Record::get().elapsed(), .began = clock() };
    mBegun.push_back({ Record::get().elapsed(), task, number });
    RECORD("executor %s starts %s run %lld", id().c_str(), task.c_str(), static_cast<long long>(number));
    return { 200, base() };
  }

  Answer halt(const json& aBody)
  {
    const std::string task = aBody.value("Task", "");
    const std::int64_t number = aBody.value("Run", std::int64_t{ 0 });
    std::int64_t& closed = mClosed[task];
    closed = std::max(closed, number);
    const auto known = mRuns.find(task);
    if (known != mRuns.end() && known->second.number <= number && known->second.stopAt == 0) {
      known->second.stopAt = clock() + stopTakesMs;
      RECORD("executor %s is told to stop %s run %lld", id().c_str(), task.c_str(), static_cast<long long>(number));
    }
    return { 200, base() };
  }

  json lists() const
  {
    json answer = base();
    answer["Running"] = json::array();
    for (const auto& [task, run] : mRuns) {
      const std::int64_t percent = std::min<std::int64_t>(100, 100 * (clock() - run.began) / mOptions.workMs);
      answer["Running"].push_back({ task, run.number, "", percent, 100 });
    }
    answer["EndedRuns"] = json::array();
    for (const json& end : mEnds) {
      if (answer["EndedRuns"].size() < 500) {
        answer["EndedRuns"].push_back(end);
      }
    }
    return answer;
  }

  Answer hold(const json& aBody, std::unique_lock<std::mutex>& aLock, int aLife)
  {
    if (const std::int64_t until = aBody.value("DeadlineMs", std::int64_t{ 0 }); until > 0) {
      mLeaseUntil = std::max(mLeaseUntil, std::min(until, clock() + kMaxHoldMs));
    }
    const std::int64_t acked = aBody.value("AckCursor", std::int64_t{ 0 });
    std::erase_if(mEnds, [acked](const json& aEnd) { return aEnd[0].get<std::int64_t>() <= acked; });
    const std::int64_t count = mEndCount;
    mWaitingLists++;
    mChanged.wait_for(aLock,
                      std::chrono::milliseconds(std::min<std::int64_t>(2000, aBody.value("WaitMs", std::int64_t{ 0 }))),
                      [&]() { return !mEnds.empty() || mEndCount != count || !mEarlyList.is_null() || !isLife(aLife); });
    mWaitingLists--;
    if (!mEarlyList.is_null()) {
      const json answer = std::exchange(mEarlyList, json());
      aLock.unlock();
      // The answer to the stop order, on another channel, overtakes this one.
      sleepMs(10);
      return { 200, answer };
    }
    return { 200, lists() };
  }

  /** In one millisecond of the clock a waiting list request is answered, the late start is carried out, and its run is told
   * to stop. */
  Answer carryOutLate(const json& aBody, std::unique_lock<std::mutex>& aLock)
  {
    for (;;) {
      const double clockMs = exactClock();
      if (mWaitingLists > 0 && clockMs - static_cast<double>(static_cast<std::int64_t>(clockMs)) < 0.3) {
        break;
      }
      aLock.unlock();
      std::this_thread::yield();
      aLock.lock();
    }
    const json start = std::exchange(mHeld, json());
    mEarlyList = lists();
    begin_(start);
    Answer answer = halt(aBody);
    RECORD("list request answered at clock %lld, without the run; stop accepted at clock %lld",
           static_cast<long long>(mEarlyList["ClockMs"].get<std::int64_t>()),
           static_cast<long long>(answer.second["ClockMs"].get<std::int64_t>()));
    mChanged.notify_all();
    return answer;
  }

  void workLoop(int aLife)
  {
    while (isLife(aLife)) {
      sleepMs(5);
      const std::lock_guard<std::mutex> lock(mMutex);
      for (auto position = mRuns.begin(); isLife(aLife) && position != mRuns.end();) {
        const Run& run = position->second;
        const char* how = clock() > mLeaseUntil                              ? "lapsed"
                          : run.stopAt != 0 && clock() >= run.stopAt           ? "stopped"
                          : run.stopAt == 0 && clock() - run.began >= mOptions.workMs ? "done"
                                                                             : nullptr;
        if (how == nullptr) {
          ++position;
          continue;
        }
        mEndCount++;
        mEnds.push_back({ mEndCount, position->first, run.number, how, "" });
        std::int64_t& closed = mClosed[position->first];
        closed = std::max(closed, run.number);
        RECORD("executor %s: %s run %lld ended %s",
               id().c_str(),
               position->first.c_str(),
               static_cast<long long>(run.number),
               how);
        position = mRuns.erase(position);
        mChanged.notify_all();
      }
    }
  }

  void reportLoop(int aLife)
  {
    while (isLife(aLife)) {
      json report;
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        report = { { "Service", mOptions.service },
                   { "Address", mOptions.app.text() },
                   { "Zone", "z1" },
                   { "Version", "v1" },
                   { "Slots", 8 },
                   { "State", "ready" },
                   { "ColdRemainingMs", 0 },
                   { "Capacity", { { "Cpu", mCpu.load() }, { "MemMb", 32000 }, { "Gpu", 0 } } },
                   { "Labels", { mOptions.kind, "r1-1" } },
                   { "ClockMs", clock() },
                   { "Seq", ++mSequence },
                   { "born", mBorn } };
      }
      const Reply reply =
        httpCall(mOptions.control, "PUT", "/-/instances/" + id(), mOptions.control.text(), report.dump(), 1000);
      RECORD("executor %s: report answered %d", id().c_str(), reply.status);
      for (const std::int64_t until = steadyMs() + kHeartbeatMs; steadyMs() < until && isLife(aLife);) {
        sleepMs(10);
      }
    }
  }

  Options mOptions;
  std::atomic<std::int64_t> mCpu;
  std::atomic<int> mLife{ 0 };
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  int mListener = -1;
  std::set<int> mConnections;
  std::int64_t mBorn = 0;
  std::chrono::steady_clock::time_point mClockStart;
  std::int64_t mFence = 0;
  std::int64_t mLeaseUntil = 0;
  std::int64_t mSequence = 0;
  std::int64_t mEndCount = 0;
  std::map<std::string, Run> mRuns;
  std::vector<json> mEnds;
  std::map<std::string, std::int64_t> mClosed;
  std::vector<Begun> mBegun;
  json mHeld;
  json mEarlyList;
  int mWaitingLists = 0;
};

/** Three machines that run control and gateway, and one machine with a relay for each executor. */
class PlainSite
{
public:
  explicit PlainSite(Deployment& aDeployment)
    : deployment(aDeployment)
  {
    for (int number = 1; number <= 3; number++) {
      core.push_back(aDeployment.machine("edge-" + std::to_string(number)));
      controls.push_back(aDeployment.control(core.back()));
      fronts.push_back(aDeployment.front(core.back()));
    }
    aDeployment.seeds = core;
    client = std::make_unique<Client>(fronts);
  }

  PlainExecutor& add(PlainExecutor::Options aOptions)
  {
    sides.push_back(deployment.machine("side-" + std::to_string(sides.size() + 1)));
    aOptions.id = "i-" + std::to_string(sides.size()) + "f3a91c2";
    aOptions.app = deployment.app(sides.back());
    aOptions.control = deployment.control(sides.back());
    executors.push_back(std::make_unique<PlainExecutor>(aOptions));
    return *executors.back();
  }

  /** Starts the processes and sends the first manifest; the executors are booted by the caller. */
  bool start(const json& aManifest)
  {
    for (const Deployment::Machine& machine : core) {
      deployment.startControl(machine, true);
      deployment.startGateway(machine);
    }
    for (const Deployment::Machine& machine : sides) {
      deployment.startRelay(machine);
    }
    if (!putManifest(controls, aManifest, 20000)) {
      return false;
    }
    for (const std::int64_t until = steadyMs() + 15000; steadyMs() < until; sleepMs(100)) {
      if (std::all_of(core.begin(), core.end(), [this](const Deployment::Machine& aMachine) {
            return httpCall(deployment.ready(aMachine), "GET", "/-/readyz", aMachine.ip, "", 500).status == 200;
          })) {
        return true;
      }
    }
    return false;
  }

  /** Ends the case with 2 if a process has ended by itself. */
  int status(bool aHasHeld)
  {
    if (const std::string ended = deployment.endedByItself(); !ended.empty()) {
      RECORD("%s", ended.c_str());
      return 2;
    }
    return aHasHeld ? 0 : 1;
  }

  Deployment& deployment;
  std::vector<Deployment::Machine> core;
  std::vector<Deployment::Machine> sides;
  std::vector<Address> controls;
  std::vector<Address> fronts;
  std::vector<std::unique_ptr<PlainExecutor>> executors;
  std::unique_ptr<Client> client;
};

constexpr std::int64_t kCancelMs = 3000;
constexpr std::int64_t kFinishMs = 14000;

inline json
jobOf(const char* aSpec, int aCount, std::int64_t aCpu, std::int64_t aEstimateMs, bool aLasts, const char* aLabel = "")
{
  json step = { { "Count", aCount }, { "Cpu", aCpu }, { "MemMb", 512 }, { "EstimateMs", aEstimateMs } };
  if (aLasts) {
    step["LongRunning"] = true;
  }
  if (*aLabel != '\0') {
    step["RequiredLabel"] = aLabel;
  }
  return { { "Spec", aSpec }, { "Steps", json::array({ step }) } };
}

} // namespace standin
