// Stand-ins for the review cases: executors, clients, the operator and the platform's process starter, as the users'
// pages describe them. Header-only; each case is one program.
#pragma once

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace standin {

using nlohmann::json;

// Bounds of the pages (SYSTEM.md), in ms.
constexpr std::int64_t kMaxHoldMs = 6000;
constexpr std::int64_t kStopMs = 900;
constexpr std::int64_t kGangWaitMs = 3000;
constexpr std::int64_t kCheckpointMs = 1000;
constexpr std::int64_t kRestoreMs = 100;
constexpr std::int64_t kHeartbeatMs = 1500;
constexpr std::int64_t kContactMs = 3000;

inline std::int64_t
steadyMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

inline std::int64_t
wallMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void
sleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

/** The file with everything that was sent, answered and run; times are ms since the start of the case. */
class Record
{
public:
  static Record& get()
  {
    static Record* sRecord = new Record();
    return *sRecord;
  }
  void open(const std::string& aPath) { mFile = std::fopen(aPath.c_str(), "w"); }
  std::int64_t elapsed() const { return steadyMs() - mStart; }
  void line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    va_list arguments;
    va_start(arguments, aFormat);
    if (mFile != nullptr) {
      std::fprintf(mFile, "%7lld ", static_cast<long long>(elapsed()));
      std::vfprintf(mFile, aFormat, arguments);
      std::fputc('\n', mFile);
      std::fflush(mFile);
    }
    va_end(arguments);
  }

private:
  std::int64_t mStart = steadyMs();
  std::FILE* mFile = nullptr;
  std::mutex mMutex;
};

#define RECORD(...) ::standin::Record::get().line(__VA_ARGS__)

// --- HTTP -----------------------------------------------------------------------------------------------------------

struct Address
{
  std::string ip;
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
};

struct HttpMessage
{
  std::string start;
  std::map<std::string, std::string> headers; // Names in lower case.
  std::string body;
  std::string header(const std::string& aName) const
  {
    const auto position = headers.find(aName);
    return position == headers.end() ? "" : position->second;
  }
};

inline std::string
lower(std::string aText)
{
  for (char& character : aText) {
    character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
  }
  return aText;
}

/** Reads one message; false at the end of the connection or when aDeadline (steady ms) has passed. */
inline bool
readMessage(int aSocket, std::string& aBuffer, HttpMessage& aMessage, std::int64_t aDeadline)
{
  for (;;) {
    const std::size_t end = aBuffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      HttpMessage message;
      std::istringstream head(aBuffer.substr(0, end));
      std::getline(head, message.start);
      if (!message.start.empty() && message.start.back() == '\r') {
        message.start.pop_back();
      }
      std::string line;
      while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r') {
          line.pop_back();
        }
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
          std::string value = line.substr(colon + 1);
          value.erase(0, value.find_first_not_of(' '));
          message.headers[lower(line.substr(0, colon))] = value;
        }
      }
      const std::string length = message.header("content-length");
      const std::size_t bytes = length.empty() ? 0 : std::stoul(length);
      if (aBuffer.size() >= end + 4 + bytes) {
        message.body = aBuffer.substr(end + 4, bytes);
        aBuffer.erase(0, end + 4 + bytes);
        aMessage = std::move(message);
        return true;
      }
    }
    const std::int64_t left = aDeadline - steadyMs();
    if (left <= 0) {
      return false;
    }
    pollfd poller{ aSocket, POLLIN, 0 };
    if (::poll(&poller, 1, static_cast<int>(std::min<std::int64_t>(left, 100))) <= 0) {
      continue;
    }
    char bytes[65536];
    const ssize_t count = ::recv(aSocket, bytes, sizeof bytes, 0);
    if (count <= 0) {
      return false;
    }
    aBuffer.append(bytes, static_cast<std::size_t>(count));
  }
}

inline bool
writeAll(int aSocket, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count = ::send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

inline sockaddr_in
socketAddress(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aAddress.port));
  inet_pton(AF_INET, aAddress.ip.c_str(), &address.sin_addr);
  return address;
}

/** Status 0: no answer. */
struct Reply
{
  int status = 0;
  std::string body;
  std::string location;
};

inline Reply
httpCall(const Address& aTo,
         const std::string& aMethod,
         const std::string& aPath,
         const std::string& aHost,
         const std::string& aBody,
         std::int64_t aTimeoutMs,
         const std::string& aMoreHeaders = "")
{
  const std::int64_t deadline = steadyMs() + aTimeoutMs;
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int flags = ::fcntl(descriptor, F_GETFL, 0);
  ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  const sockaddr_in address = socketAddress(aTo);
  Reply reply;
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    pollfd poller{ descriptor, POLLOUT, 0 };
    int error = 1;
    socklen_t length = sizeof error;
    if (errno != EINPROGRESS || ::poll(&poller, 1, static_cast<int>(aTimeoutMs)) <= 0 ||
        ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
      ::close(descriptor);
      return reply;
    }
  }
  ::fcntl(descriptor, F_SETFL, flags);
  std::string request = aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + aHost +
                        "\r\nConnection: close\r\n" + aMoreHeaders;
  if (!aBody.empty() || aMethod != "GET") {
    request += "Content-Type: application/json\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  request += "\r\n" + aBody;
  std::string buffer;
  HttpMessage answer;
  if (writeAll(descriptor, request) && readMessage(descriptor, buffer, answer, deadline) &&
      answer.start.size() > 12) {
    reply.status = std::atoi(answer.start.c_str() + 9);
    reply.body = answer.body;
    reply.location = answer.header("location");
  }
  ::close(descriptor);
  return reply;
}

// --- Executors ------------------------------------------------------------------------------------------------------

/** Something that happened to a run on an executor, for the checks. */
struct RunEvent
{
  std::int64_t at = 0;
  std::string kind; // "start" or "end".
  std::string executor;
  std::string task;
  std::int64_t run = 0;
  std::string how;
  std::string checkpoint;
  /** The executor's AckCursor had reached the number of this end before the run ended. */
  bool isNoted = false;
};

/** What a task does. */
struct TaskPlan
{
  std::int64_t workMs = 1000;
  /** The task crashes its executor after this time; -1: never. */
  std::int64_t crashAfterMs = -1;
  bool checkpoints = false;
  /** Number of members of its gang; 0: no gang. */
  int gangSize = 0;
};

/** Shared by all executors: what happened, and which members of a gang are there. */
class World
{
public:
  std::function<TaskPlan(const std::string& aTask)> planOf = [](const std::string&) { return TaskPlan(); };

  void add(RunEvent aEvent)
  {
    aEvent.at = Record::get().elapsed();
    if (aEvent.kind == "start") {
      RECORD("executor %s starts %s run %lld checkpoint '%s'",
             aEvent.executor.c_str(),
             aEvent.task.c_str(),
             static_cast<long long>(aEvent.run),
             aEvent.checkpoint.c_str());
    } else {
      RECORD("executor %s: %s run %lld ended %s, saved '%s'",
             aEvent.executor.c_str(),
             aEvent.task.c_str(),
             static_cast<long long>(aEvent.run),
             aEvent.how.c_str(),
             aEvent.checkpoint.c_str());
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    mEvents.push_back(std::move(aEvent));
  }
  std::vector<RunEvent> events() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mEvents;
  }

  static std::string gangOf(const std::string& aTask, std::int64_t aRun)
  {
    return aTask.substr(0, aTask.rfind('.')) + "/" + std::to_string(aRun);
  }

  /** Members by name, each with the checkpoint that its start carried. */
  struct Gang
  {
    std::map<std::string, std::string> members;
    std::int64_t workedSince = 0;
    bool isBroken = false;
    bool isDone = false;
  };
  std::mutex gangMutex;
  std::map<std::string, Gang> gangs;

private:
  mutable std::mutex mMutex;
  std::vector<RunEvent> mEvents;
};

/** One executor with its machine; crash() and boot() begin another life under the same id. */
class Executor
{
public:
  Executor(World& aWorld, std::string aId, Address aApp, Address aControl, std::int64_t aCpu)
    : mWorld(aWorld)
    , mId(std::move(aId))
    , mApp(std::move(aApp))
    , mControl(std::move(aControl))
    , mCpu(aCpu)
  {
  }

  std::string service;
  std::string zone = "z1";
  std::string rack = "r1-1";
  /** A crash that a task causes is followed by a boot after this time. */
  std::int64_t rebootMs = 2000;

  const std::string& id() const { return mId; }
  bool isUp() const { return mUp; }

  void boot()
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mBorn = wallMs();
      mClockStart = steadyMs() - 5000;
      mFence = 0;
      mLeaseUntil = 0;
      mSeq = 0;
      mNextEnd = 1;
      mAckCursor = 0;
      mRuns.clear();
      mEnds.clear();
      mClosed.clear();
    }
    mLife++;
    mUp = true;
    RECORD("executor %s is up, born %lld", mId.c_str(), static_cast<long long>(mBorn));
    const int life = mLife;
    mListener = listen();
    std::thread([this, life]() { acceptLoop(life); }).detach();
    std::thread([this, life]() { workLoop(life); }).detach();
    std::thread([this, life]() { beatLoop(life); }).detach();
  }

  /** The process ends at once: connections are reset, runs and everything known are gone. */
  void crash()
  {
    if (!mUp.exchange(false)) {
      return;
    }
    RECORD("executor %s crashes", mId.c_str());
    std::vector<std::pair<std::string, Run>> lost;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      for (const auto& [task, run] : mRuns) {
        lost.emplace_back(task, run);
      }
      mRuns.clear();
      mEnds.clear();
      ::shutdown(mListener, SHUT_RDWR);
      ::close(mListener);
      const linger abort{ 1, 0 };
      for (const int connection : mConnections) {
        ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        ::shutdown(connection, SHUT_RDWR);
      }
    }
    for (const auto& [task, run] : lost) {
      breakGang(task, run.run);
      mWorld.add({ .kind = "end", .executor = mId, .task = task, .run = run.run, .how = "crash" });
    }
  }

  std::vector<std::string> running() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    std::vector<std::string> tasks;
    for (const auto& [task, run] : mRuns) {
      tasks.push_back(task);
    }
    return tasks;
  }

  std::atomic<int> crashes{ 0 };

private:
  struct Run
  {
    std::int64_t run = 0;
    std::int64_t startedAt = 0;
    std::int64_t stopAt = 0;
    std::string saved;
    std::int64_t savedMs = 0;
    TaskPlan plan;
    /** When the work began, less the work that the checkpoint saved; 0 while a gang waits. */
    std::int64_t workSince = 0;
  };
  struct End
  {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
    std::string saved;
  };

  std::int64_t clock() const { return steadyMs() - mClockStart; }

  int listen()
  {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = socketAddress(mApp);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(descriptor, 64) != 0) {
      RECORD("executor %s cannot listen: %s", mId.c_str(), std::strerror(errno));
    }
    return descriptor;
  }

  bool isLife(int aLife) const { return mUp && mLife == aLife; }

  void acceptLoop(int aLife)
  {
    while (isLife(aLife)) {
      pollfd poller{ mListener, POLLIN, 0 };
      if (::poll(&poller, 1, 50) <= 0) {
        continue;
      }
      const int connection = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
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
    while (isLife(aLife)) {
      if (!readMessage(aConnection, buffer, request, steadyMs() + 300000)) {
        break;
      }
      if (!isLife(aLife)) {
        break;
      }
      const auto [status, body] = handle(request);
      const std::string text = body.dump();
      if (!writeAll(aConnection,
                    "HTTP/1.1 " + std::to_string(status) +
                      " X\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(text.size()) + "\r\n\r\n" + text)) {
        break;
      }
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    mConnections.erase(aConnection);
    ::close(aConnection);
  }

  std::pair<int, json> handle(const HttpMessage& aRequest)
  {
    const std::string path = aRequest.start.substr(aRequest.start.find(' ') + 1,
                                                   aRequest.start.rfind(' ') - aRequest.start.find(' ') - 1);
    if (path == "/healthz") {
      return { 200, json::object() };
    }
    if (const std::string instance = aRequest.header("expect-instance"); !instance.empty() && instance != mId) {
      return { 421, json::object() };
    }
    const json body = json::parse(aRequest.body, nullptr, false);
    if (!body.is_object()) {
      return { 400, json::object() };
    }
    std::unique_lock<std::mutex> lock(mMutex);
    const auto answer = [this](int aStatus, const char* aReason = nullptr) {
      json result = { { "ClockMs", clock() }, { "born", mBorn } };
      if (aReason != nullptr) {
        result["Reason"] = aReason;
      }
      return std::pair<int, json>(aStatus, result);
    };
    const std::int64_t fence = body.value("Fence", std::int64_t{ 0 });
    if (fence < mFence) {
      return answer(409, "fence");
    }
    mFence = fence;
    if (path == "/-/run-start") {
      const std::string task = body.value("Task", "");
      const std::int64_t run = body.value("Run", std::int64_t{ 0 });
      const std::int64_t deadline = body.value("DeadlineMs", std::int64_t{ 0 });
      const auto known = mRuns.find(task);
      if (known != mRuns.end() && known->second.run == run) {
        extendLease(deadline);
        return answer(200);
      }
      const auto closed = mClosed.find(task);
      if (closed != mClosed.end() && run <= closed->second) {
        extendLease(deadline);
        return answer(409, "old");
      }
      if (deadline <= clock()) {
        return answer(409, "late");
      }
      extendLease(deadline);
      Run started;
      started.run = run;
      started.startedAt = clock();
      started.plan = mWorld.planOf(task);
      started.saved = body.value("Checkpoint", "");
      started.savedMs = savedWork(started.saved);
      if (started.plan.gangSize == 0) {
        started.workSince = clock() + (started.saved.empty() ? 0 : kRestoreMs) - started.savedMs;
      }
      mRuns[task] = started;
      lock.unlock();
      mWorld.add({ .kind = "start", .executor = mId, .task = task, .run = run, .checkpoint = started.saved });
      if (started.plan.gangSize > 0) {
        const std::lock_guard<std::mutex> gangLock(mWorld.gangMutex);
        mWorld.gangs[World::gangOf(task, run)].members[task] = started.saved;
      }
      return answer(200);
    }
    if (path == "/-/run-stop") {
      const std::string task = body.value("Task", "");
      const std::int64_t run = body.value("Run", std::int64_t{ 0 });
      const auto known = mRuns.find(task);
      if (known != mRuns.end() && known->second.run == run) {
        if (known->second.stopAt == 0) {
          RECORD("executor %s is told to stop %s run %lld", mId.c_str(), task.c_str(), static_cast<long long>(run));
          known->second.stopAt = clock() + stopTakesMs;
        }
      } else {
        std::int64_t& closed = mClosed[task];
        closed = std::max(closed, run);
      }
      return answer(200);
    }
    if (path == "/-/pace") {
      return answer(200);
    }
    if (path == "/-/hold") {
      extendLease(body.value("DeadlineMs", std::int64_t{ 0 }));
      // Like the fence and the lease, the cursor never goes back, because calls may overtake each other.
      const std::int64_t acked = body.value("AckCursor", std::int64_t{ 0 });
      if (acked > mAckCursor) {
        mAckCursor = acked;
        RECORD("executor %s gets AckCursor %lld", mId.c_str(), static_cast<long long>(acked));
      }
      const std::int64_t until = steadyMs() + std::min<std::int64_t>(2000, body.value("WaitMs", std::int64_t{ 0 }));
      const std::int64_t next = mNextEnd;
      const int life = mLife;
      const auto hasEnds = [this]() {
        return std::any_of(
          mEnds.begin(), mEnds.end(), [this](const End& aEnd) { return aEnd.number > mAckCursor; });
      };
      while (steadyMs() < until && mNextEnd == next && !hasEnds() && isLife(life)) {
        lock.unlock();
        sleepMs(5);
        lock.lock();
      }
      std::erase_if(mEnds, [this](const End& aEnd) { return aEnd.number <= mAckCursor; });
      auto result = answer(200);
      json running = json::array();
      for (const auto& [task, run] : mRuns) {
        running.push_back({ task, run.run, run.saved, percentOf(run), 100 });
      }
      json ended = json::array();
      for (const End& end : mEnds) {
        if (ended.size() < 500) {
          ended.push_back({ end.number, end.task, end.run, end.how, end.saved });
        }
      }
      result.second["Running"] = running;
      result.second["EndedRuns"] = ended;
      return result;
    }
    return { 404, json::object() };
  }

  double percentOf(const Run& aRun) const
  {
    if (aRun.workSince == 0 || aRun.plan.workMs <= 0) {
      return 0;
    }
    const double worked = static_cast<double>(clock() - aRun.workSince);
    return std::clamp(100.0 * worked / static_cast<double>(aRun.plan.workMs), 0.0, 99.0);
  }

  void extendLease(std::int64_t aUntil) { mLeaseUntil = std::max(mLeaseUntil, std::min(aUntil, clock() + kMaxHoldMs)); }

  /** A checkpoint is an opaque text to others: work in ms, and which task wrote it. */
  static std::int64_t savedWork(const std::string& aCheckpoint)
  {
    return aCheckpoint.size() < 8 ? 0 : std::stoll(aCheckpoint.substr(0, 8), nullptr, 16);
  }
  static std::string checkpointOf(std::int64_t aWorkMs, const std::string& aTask)
  {
    char text[32];
    std::snprintf(text,
                  sizeof text,
                  "%08llx%08x",
                  static_cast<unsigned long long>(aWorkMs),
                  static_cast<unsigned>(std::hash<std::string>()(aTask)));
    return text;
  }

  void breakGang(const std::string& aTask, std::int64_t aRun)
  {
    const std::lock_guard<std::mutex> lock(mWorld.gangMutex);
    const auto gang = mWorld.gangs.find(World::gangOf(aTask, aRun));
    if (gang != mWorld.gangs.end() && !gang->second.isDone) {
      gang->second.isBroken = gang->second.isBroken || gang->second.workedSince != 0;
      gang->second.members.erase(aTask);
    }
  }

  void workLoop(int aLife)
  {
    while (isLife(aLife)) {
      sleepMs(5);
      std::vector<RunEvent> ended;
      bool crashes = false;
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        if (!isLife(aLife)) {
          return;
        }
        const std::int64_t now = clock();
        for (auto position = mRuns.begin(); position != mRuns.end();) {
          Run& run = position->second;
          std::string how;
          if (now > mLeaseUntil) {
            how = "lapsed";
          } else if (run.stopAt != 0 && now >= run.stopAt) {
            how = "stopped";
          } else if (run.plan.crashAfterMs >= 0 && now - run.startedAt >= run.plan.crashAfterMs) {
            crashes = true;
          } else if (run.plan.gangSize > 0) {
            how = workInGang(position->first, run, now);
          } else if (now - run.workSince >= run.plan.workMs) {
            how = "done";
          }
          if (run.plan.checkpoints && run.workSince != 0 && (how.empty() || how == "stopped")) {
            const std::int64_t worked = now - run.workSince;
            if (worked - run.savedMs >= kCheckpointMs || (how == "stopped" && worked > run.savedMs)) {
              run.savedMs = worked;
              run.saved = checkpointOf(worked, position->first);
            }
          }
          if (how.empty()) {
            ++position;
            continue;
          }
          ended.push_back({ .kind = "end",
                            .executor = mId,
                            .task = position->first,
                            .run = run.run,
                            .how = how,
                            .checkpoint = run.saved,
                            .isNoted = mNextEnd <= mAckCursor });
          mEnds.push_back({ mNextEnd, position->first, run.run, how, run.saved });
          mNextEnd++;
          std::int64_t& closed = mClosed[position->first];
          closed = std::max(closed, run.run);
          position = mRuns.erase(position);
        }
      }
      for (const RunEvent& event : ended) {
        breakGang(event.task, event.run);
        mWorld.add(event);
      }
      if (crashes) {
        this->crashes++;
        crash();
        std::thread([this]() {
          sleepMs(rebootMs);
          boot();
        }).detach();
        return;
      }
    }
  }

  /** Returns how the member ends; empty while it goes on. */
  std::string workInGang(const std::string& aTask, Run& aRun, std::int64_t aNow)
  {
    const std::lock_guard<std::mutex> lock(mWorld.gangMutex);
    World::Gang& gang = mWorld.gangs[World::gangOf(aTask, aRun.run)];
    if (gang.isDone) {
      return "done";
    }
    if (gang.isBroken) {
      return "broken";
    }
    if (aRun.workSince == 0) {
      // All members must be present and carry the same checkpoint.
      const bool isComplete = std::ssize(gang.members) == aRun.plan.gangSize;
      const bool isSame = std::all_of(gang.members.begin(), gang.members.end(), [&aRun](const auto& aMember) {
        return savedBeforeStart(aMember.second) == savedBeforeStart(aRun.saved);
      });
      if (isComplete && isSame) {
        gang.workedSince = gang.workedSince == 0 ? steadyMs() : gang.workedSince;
        aRun.workSince = aNow + (aRun.saved.empty() ? 0 : kRestoreMs) - aRun.savedMs;
        return "";
      }
      return aNow - aRun.startedAt >= kGangWaitMs ? "alone" : "";
    }
    if (aNow - aRun.workSince >= aRun.plan.workMs) {
      gang.isDone = true;
      return "done";
    }
    return "";
  }
  static const std::string& savedBeforeStart(const std::string& aCheckpoint) { return aCheckpoint; }

  void beatLoop(int aLife)
  {
    std::int64_t nextBeat = steadyMs() + firstBeatMs;
    while (isLife(aLife)) {
      if (steadyMs() < nextBeat) {
        sleepMs(5);
        continue;
      }
      json beat;
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        mSeq++;
        beat = { { "Service", service },
                 { "Address", mApp.text() },
                 { "Zone", zone },
                 { "Version", "v1" },
                 { "Slots", 8 },
                 { "State", "ready" },
                 { "ColdRemainingMs", 0 },
                 { "Capacity", { { "Cpu", mCpu }, { "MemMb", 128000 }, { "Gpu", 0 } } },
                 { "Labels", { "a", rack } },
                 { "ClockMs", clock() },
                 { "Seq", mSeq },
                 { "born", mBorn } };
      }
      const Reply reply =
        httpCall(mControl, "PUT", "/-/instances/" + mId, mControl.text(), beat.dump(), 1000);
      if (reply.status != mLastBeatStatus) {
        RECORD("executor %s: beat %lld answered %d", mId.c_str(), static_cast<long long>(mSeq), reply.status);
        mLastBeatStatus = reply.status;
      }
      nextBeat = steadyMs() + (reply.status / 100 == 2 ? kHeartbeatMs : 250);
    }
  }

public:
  /** How long a stop takes, up to StopMs. */
  std::int64_t stopTakesMs = 50;
  /** From the start of a life to its first status report. */
  std::int64_t firstBeatMs = 0;

private:
  World& mWorld;
  std::string mId;
  Address mApp;
  Address mControl;
  std::int64_t mCpu;
  std::atomic<bool> mUp{ false };
  std::atomic<int> mLife{ 0 };
  int mListener = -1;
  int mLastBeatStatus = -1;
  mutable std::mutex mMutex;
  std::set<int> mConnections;
  std::int64_t mBorn = 0;
  std::int64_t mClockStart = 0;
  std::int64_t mFence = 0;
  std::int64_t mLeaseUntil = 0;
  std::int64_t mSeq = 0;
  std::int64_t mNextEnd = 1;
  std::int64_t mAckCursor = 0;
  std::map<std::string, Run> mRuns;
  std::vector<End> mEnds;
  std::map<std::string, std::int64_t> mClosed;
};

// --- The platform: addresses, settings and processes -----------------------------------------------------------------

class Deployment
{
public:
  struct Machine
  {
    std::string name;
    std::string ip;
  };

  explicit Deployment(std::string aFolder)
    : mFolder(std::move(aFolder))
  {
    std::filesystem::create_directories(mFolder);
    chooseAddresses();
  }

  ~Deployment() { stopAll(); }

  Machine machine(const std::string& aName)
  {
    mMachines++;
    return { aName, mNetwork + std::to_string(mMachines) };
  }
  Address front(const Machine& aMachine) const { return { aMachine.ip, mPort }; }
  Address ready(const Machine& aMachine) const { return { aMachine.ip, mPort + 1 }; }
  Address control(const Machine& aMachine) const { return { aMachine.ip, mPort + 2 }; }
  Address app(const Machine& aMachine) const { return { aMachine.ip, mPort + 3 }; }

  /** The three Control addresses that a settings file written now names. */
  std::vector<Machine> seeds;

  // The settings are what the templates in deploy/ give for a small deployment.
  void startControl(const Machine& aMachine, bool aBootstrap, int aLostReplicas = 1)
  {
    json settings = base(aMachine, "control");
    settings["listenAddress"] = aMachine.ip + ":" + std::to_string(mPort + 4);
    settings["platformAddress"] = control(aMachine).text();
    settings["metricsAddress"] = aMachine.ip + ":" + std::to_string(mPort + 6);
    settings["dataFolder"] = mFolder + "/data-" + aMachine.name;
    settings["start"] = aBootstrap ? "found" : "join";
    settings["lostReplicas"] = aLostReplicas;
    settings["electionTimeoutMs"] = 500;
    settings["workerLeaseMs"] = kMaxHoldMs;
    start(aMachine, "control", settings);
  }
  void startGateway(const Machine& aMachine)
  {
    json settings = base(aMachine, "gateway");
    settings["httpAddress"] = aMachine.ip + ":" + std::to_string(mPort + 5);
    settings["platformAddress"] = front(aMachine).text();
    settings["readinessAddress"] = ready(aMachine).text();
    settings["controlPort"] = mPort + 4;
    start(aMachine, "gateway", settings);
  }
  void startRelay(const Machine& aMachine)
  {
    json settings = base(aMachine, "relay");
    settings["platformAddress"] = control(aMachine).text();
    settings["metricsAddress"] = aMachine.ip + ":" + std::to_string(mPort + 6);
    settings["controlPort"] = mPort + 4;
    start(aMachine, "relay", settings);
  }

  /** Writes the present seeds into the settings files of all processes, without a signal. */
  void rewriteSettings()
  {
    json addresses = json::array();
    for (const Machine& seed : seeds) {
      addresses.push_back(control(seed).text());
    }
    for (auto& [name, settings] : mSettings) {
      settings["controlSeeds"] = addresses;
      if (settings.contains("start")) {
        settings["start"] = "join";
      }
      std::ofstream(mFolder + "/" + name + ".json") << settings.dump(2) << "\n";
    }
    RECORD("the settings files name the seeds %s", addresses.dump().c_str());
  }

  /** Sends a signal to a process that this deployment has started. */
  void signal(const Machine& aMachine, const std::string& aRole, int aSignal)
  {
    const auto position = mProcesses.find(aMachine.name + "-" + aRole);
    if (position != mProcesses.end()) {
      RECORD("signal %d to %s", aSignal, position->first.c_str());
      ::kill(position->second, aSignal);
      if (aSignal == SIGKILL) {
        ::waitpid(position->second, nullptr, 0);
        mProcesses.erase(position);
      }
    }
  }
  /** SIGTERM, and SIGKILL after GraceS. */
  void terminate(const Machine& aMachine, const std::string& aRole)
  {
    const auto position = mProcesses.find(aMachine.name + "-" + aRole);
    if (position == mProcesses.end()) {
      return;
    }
    RECORD("SIGTERM to %s", position->first.c_str());
    ::kill(position->second, SIGTERM);
    for (const std::int64_t until = steadyMs() + 6000; steadyMs() < until; sleepMs(20)) {
      if (::waitpid(position->second, nullptr, WNOHANG) == position->second) {
        mProcesses.erase(position);
        return;
      }
    }
    signal(aMachine, aRole, SIGKILL);
  }

  /** Whether a process has ended by itself. */
  std::string endedByItself()
  {
    for (const auto& [name, pid] : mProcesses) {
      int status = 0;
      if (::waitpid(pid, &status, WNOHANG) == pid) {
        return name + " ended with status " + std::to_string(status);
      }
    }
    return "";
  }

  void stopAll()
  {
    for (const auto& [name, pid] : mProcesses) {
      ::kill(pid, SIGCONT);
      ::kill(pid, SIGKILL);
    }
    for (const auto& [name, pid] : mProcesses) {
      ::waitpid(pid, nullptr, 0);
    }
    mProcesses.clear();
  }

  bool isControlLeader(const Machine& aMachine) const
  {
    const Reply reply = httpCall(
      { aMachine.ip, mPort + 6 }, "GET", "/metrics", aMachine.ip, "", 500);
    return reply.body.find("control_is_leader 1") != std::string::npos;
  }

private:
  json base(const Machine& aMachine, const std::string& aRole) const
  {
    json addresses = json::array();
    for (const Machine& seed : seeds) {
      addresses.push_back(control(seed).text());
    }
    return { { "processId", aMachine.name + "-" + aRole },
             { "dataCentre", "z1" },
             { "controlSeeds", addresses },
             { "lease", { { "leaseMs", 6000 }, { "heartbeatMs", 500 }, { "leaderSilenceMs", 1000 } } } };
  }

  void start(const Machine& aMachine, const std::string& aRole, const json& aSettings)
  {
    const std::string name = aMachine.name + "-" + aRole;
    const std::string file = mFolder + "/" + name + ".json";
    mSettings[name] = aSettings;
    std::ofstream(file) << aSettings.dump(2) << "\n";
    const std::string program = "target/magnoliadrum-" + aRole;
    const std::string argument = "--settings=" + file;
    const std::string log = mFolder + "/" + name + ".log";
    const pid_t pid = ::fork();
    if (pid == 0) {
      // The process must not outlive the case, whatever ends it.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(output, 1);
      ::dup2(output, 2);
      ::execl(program.c_str(), program.c_str(), argument.c_str(), nullptr);
      ::_exit(127);
    }
    mProcesses[name] = pid;
    RECORD("%s started", name.c_str());
  }

  static bool isFree(const Address& aAddress)
  {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = socketAddress(aAddress);
    const bool isBound = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(descriptor);
    return isBound;
  }

  void chooseAddresses()
  {
    std::random_device device;
    for (int attempt = 0; attempt < 100; attempt++) {
      mNetwork = "127." + std::to_string(10 + device() % 200) + "." + std::to_string(1 + device() % 250) + ".";
      mPort = static_cast<int>(20000 + device() % 8000);
      bool isUsable = true;
      for (int host = 1; host < 16 && isUsable; host++) {
        for (int port = 0; port < 7 && isUsable; port++) {
          isUsable = isFree({ mNetwork + std::to_string(host), mPort + port });
        }
      }
      if (isUsable) {
        return;
      }
    }
    std::fprintf(stderr, "no free addresses\n");
    std::exit(2);
  }

  std::string mFolder;
  std::string mNetwork;
  int mPort = 0;
  int mMachines = 0;
  std::map<std::string, pid_t> mProcesses;
  std::map<std::string, json> mSettings;
};

// --- Operator and clients -------------------------------------------------------------------------------------------

/** Sends a manifest until it is acknowledged, to one node after the other; follows redirects twice. */
inline bool
putManifest(const std::vector<Address>& aControls, const json& aManifest, std::int64_t aTimeoutMs)
{
  const std::string body = aManifest.dump();
  const std::int64_t until = steadyMs() + aTimeoutMs;
  for (std::size_t next = 0; steadyMs() < until; next++) {
    Address to = aControls[next % aControls.size()];
    for (int redirects = 0; redirects <= 2; redirects++) {
      const Reply reply = httpCall(to, "PUT", "/-/config", to.text(), body, 1000);
      RECORD("operator: PUT /-/config at %s answered %d", to.text().c_str(), reply.status);
      if (reply.status == 200) {
        return true;
      }
      if (reply.status != 307 || reply.location.size() < 8) {
        break;
      }
      const std::string rest = reply.location.substr(7);
      to = { rest.substr(0, rest.find(':')), std::atoi(rest.c_str() + rest.find(':') + 1) };
    }
    sleepMs(250);
  }
  return false;
}

inline json
manifest(std::int64_t aVersion, int aMaxAttempts = 3)
{
  return { { "Version", aVersion },
           { "Routes",
             { { { "Name", "r-1" },
                 { "Host", "desk.example" },
                 { "PathPrefix", "/jobs/" },
                 { "Type", "non_idempotent" },
                 { "TimeoutMs", 3000 },
                 { "TargetLatencyMs", 1000 },
                 { "Priority", 0 },
                 { "Service", "basket-desk" },
                 { "MaxAttempts", aMaxAttempts },
                 { "Stretch", 2.0 } } } },
           { "Services",
             { { { "Name", "basket-desk" },
                 { "HealthPath", "/healthz" },
                 { "MaxConns", 64 },
                 { "Protocol", "h1" },
                 { "Tls", false },
                 { "RejectsOverload", false },
                 { "Standby", false } } } },
           { "Limits",
             { { "MaxHeaderBytes", 16384 },
               { "MaxBodyBytes", 262144 },
               { "HeaderTimeoutMs", 3000 },
               { "IdleTimeoutMs", 15000 } } } };
}

class Client
{
public:
  explicit Client(std::vector<Address> aFronts)
    : mFronts(std::move(aFronts))
  {
  }

  Reply send(const std::string& aMethod, const std::string& aId, const std::string& aBody, std::size_t aFront = 0)
  {
    const Address& front = mFronts[aFront % mFronts.size()];
    const Reply reply = httpCall(
      front, aMethod, "/jobs/" + aId, "desk.example", aBody, 3200, "Deadline-Ms: 3000\r\n");
    RECORD("client: %s %s at %s answered %d %s",
           aMethod.c_str(),
           aId.c_str(),
           front.text().c_str(),
           reply.status,
           reply.body.c_str());
    return reply;
  }
  /** Submits with the same id until a 2xx. */
  bool submit(const std::string& aId, const json& aJob, std::int64_t aTimeoutMs = 15000)
  {
    const std::string body = aJob.dump();
    std::size_t front = 0;
    for (const std::int64_t until = steadyMs() + aTimeoutMs; steadyMs() < until; sleepMs(200)) {
      if (send("POST", aId, body, front++).status == 200) {
        return true;
      }
    }
    return false;
  }
  std::string state(const std::string& aId)
  {
    const Reply reply = send("GET", aId, "");
    if (reply.status != 200) {
      return std::to_string(reply.status);
    }
    return json::parse(reply.body, nullptr, false).value("State", "");
  }

private:
  std::vector<Address> mFronts;
};

/** The common frame of a case: aMain returns the exit status 0, 1 or 2. */
inline int
runCase(int aCount, char** aArguments, int (*aMain)(Deployment&, bool aHasTrouble))
{
  if (aCount < 2) {
    std::fprintf(stderr, "usage: %s RECORD-FILE\n", aArguments[0]);
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const auto onInterrupt = [](int) { ::_exit(2); };
  std::signal(SIGTERM, onInterrupt);
  std::signal(SIGINT, onInterrupt);
  Record::get().open(aArguments[1]);
  const char* trouble = std::getenv("TROUBLE");
  const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
  char folder[] = "/tmp/review-case-XXXXXX";
  if (::mkdtemp(folder) == nullptr) {
    return 2;
  }
  RECORD("begin, disruption %s", hasTrouble ? "on" : "off");
  int status = 2;
  {
    static std::atomic<bool> sDone{ false };
    Deployment* deployment = new Deployment(folder);
    std::thread([deployment]() {
      for (const std::int64_t until = steadyMs() + 112000; steadyMs() < until;) {
        sleepMs(100);
      }
      if (!sDone) {
        RECORD("the case took too long");
        deployment->stopAll();
        std::_Exit(2);
      }
    }).detach();
    status = aMain(*deployment, hasTrouble);
    sDone = true;
    deployment->stopAll();
  }
  if (std::getenv("KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
  } else {
    std::printf("logs in %s\n", folder);
  }
  RECORD("end, status %d", status);
  std::printf("%s\n", status == 1 ? "BROKEN" : status == 0 ? "held" : "could not run");
  std::fflush(nullptr);
  // Detached threads of the stand-ins still use objects of this process.
  std::_Exit(status);
}

} // namespace standin
