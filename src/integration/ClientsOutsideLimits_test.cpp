#include "integration/ChildProcess.h"
#include "transport/LoopbackHost.h"
#include "transport/SocketAddress.h"

#include <array>
#include <boost/filesystem.hpp>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace magnoliadrum;
using nlohmann::json;

namespace {

namespace fs = boost::filesystem;

/** Memory and descriptors of each VM, as its settings state them. */
constexpr std::int64_t kMemoryMb = 64;
constexpr std::int64_t kDescriptors = 1024;
/** Objective of the test's queue for an answer. */
constexpr std::int64_t kObjectiveMs = 2500;
constexpr std::size_t kBodyBytes = 250000;
constexpr std::size_t kMissingBytes = 10;

/** A non-blocking connection with bytes that it still has to send. */
class Caller
{
public:
  explicit Caller(const std::string& aAddress)
    : mSocket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    const SocketAddress address = valueOf(SocketAddress::parse(aAddress));
    mIsOpen = ::connect(mSocket, address.data(), static_cast<socklen_t>(address.length())) == 0;
    ::fcntl(mSocket, F_SETFL, O_NONBLOCK);
  }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;
  ~Caller() { ::close(mSocket); }

  /** Sends up to aMaxBytes of the remaining text; false if nothing is left or it was closed. */
  bool sendSome(const std::string& aText, std::size_t aMaxBytes)
  {
    if (!mIsOpen || mSent >= aText.size()) {
      return false;
    }
    const std::size_t size = std::min(aMaxBytes, aText.size() - mSent);
    const ssize_t sent = ::send(mSocket, aText.data() + mSent, size, MSG_NOSIGNAL);
    if (sent > 0) {
      mSent += static_cast<std::size_t>(sent);
    } else if (errno != EAGAIN) {
      mIsOpen = false;
    }
    return mIsOpen;
  }

  /** Reads until the text ends with a whole answer, the connection ends or aMs have passed. */
  std::string readAnswer(std::int64_t aMs)
  {
    const Deadline deadline = MonotonicTime::now().plusMs(aMs);
    std::string text;
    std::array<char, 4096> buffer{};
    while (MonotonicTime::now() < deadline) {
      pollfd ready{ mSocket, POLLIN, 0 };
      constexpr int kPollMs = 20;
      if (::poll(&ready, 1, kPollMs) <= 0) {
        continue;
      }
      const ssize_t count = ::recv(mSocket, buffer.data(), buffer.size(), 0);
      if (count <= 0) {
        return text;
      }
      text.append(buffer.data(), static_cast<std::size_t>(count));
      if (text.find("\r\n\r\n") != std::string::npos) {
        return text;
      }
    }
    return text;
  }

private:
  int mSocket;
  bool mIsOpen = false;
  std::size_t mSent = 0;
};

std::string
requestText(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aHeaders,
            const std::string& aBody)
{
  return aMethod + " " + aPath + " HTTP/1.1\r\nHost: clients.example\r\n" + aHeaders + "\r\n" +
         aBody;
}

std::string
withLength(const std::string& aMethod, const std::string& aPath, const std::string& aBody)
{
  return requestText(
    aMethod, aPath, "Content-Length: " + std::to_string(aBody.size()) + "\r\n", aBody);
}

/** A way to send what a process must survive. */
struct Pattern
{
  std::string name;
  std::size_t callers;
  /** Bytes that each caller sends at a time. */
  std::size_t pieceBytes;
  /** Most rounds in which each caller sends a piece. */
  std::size_t rounds;
  std::string text;
};

std::vector<Pattern>
patterns(const std::string& aMethod, const std::string& aPath)
{
  const std::string body(kBodyBytes, 'x');
  const std::string stalled = withLength(aMethod, aPath, body);
  std::string chunks;
  for (std::size_t sent = 0; sent + 1000 < kBodyBytes; sent += 1000) {
    chunks += "3e8\r\n" + std::string(1000, 'x') + "\r\n";
  }
  std::string fields;
  for (int field = 0; field < 3000; field++) {
    fields += "a:b\r\n";
  }
  std::string ahead;
  for (int request = 0; request < 500; request++) {
    ahead += requestText("GET", aPath, "", "");
  }
  std::string steps = "{\"Spec\":\"\",\"Steps\":[{}";
  while (steps.size() < kBodyBytes) {
    steps += ",{}";
  }
  steps += "]}";
  constexpr std::size_t kWhole = std::size_t{ 1 } << 20U;
  return {
    { "stops short of the end",
      400,
      kWhole,
      20,
      stalled.substr(0, stalled.size() - kMissingBytes) },
    { "small pieces, stops short",
      400,
      8000,
      31,
      stalled.substr(0, stalled.size() - kMissingBytes) },
    { "chunks without an end",
      400,
      kWhole,
      20,
      requestText(aMethod, aPath, "Transfer-Encoding: chunked\r\n", chunks) },
    { "a chunk size without an end",
      100,
      kWhole,
      20,
      requestText(aMethod, aPath, "Transfer-Encoding: chunked\r\n", std::string(800000, '1')) },
    { "a body far over the limit",
      50,
      kWhole,
      20,
      requestText(aMethod, aPath, "Content-Length: 100000000\r\n", std::string(3000000, 'x')) },
    { "many short header fields", 400, kWhole, 20, requestText(aMethod, aPath, fields, "") },
    { "many short values", 100, kWhole, 20, withLength(aMethod, aPath, steps) },
    { "many requests ahead, no reading", 100, kWhole, 20, ahead },
    { "slow header", 400, 1, 20, stalled },
    { "nothing at all", 400, 0, 1, "" },
  };
}

/** Peak of the resident memory of a process in bytes. */
std::int64_t
peakBytes(int aProcessId)
{
  std::ifstream status("/proc/" + std::to_string(aProcessId) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmHWM:")) {
      return std::stoll(line.substr(6)) * 1024;
    }
  }
  return 0;
}

/** One control VM, one gateway and one relay as real processes on loopback. */
struct ProcessesFixture
{
  ProcessesFixture()
    : mPrograms(fs::read_symlink("/proc/self/exe").parent_path())
    , mFolder(fs::temp_directory_path() / fs::unique_path("clients-%%%%%%%%"))
  {
    fs::create_directories(mFolder / "data");
    const std::string control = loopbackHost(11);
    const json seeds = { control + ":7400" };
    const json common = { { "dataCentre", "waco" },
                          { "controlSeeds", seeds },
                          { "vm",
                            { { "memoryMb", kMemoryMb }, { "maxDescriptors", kDescriptors } } } };
    start("control",
          common,
          { { "listenAddress", control + ":7400" },
            { "platformAddress", control + ":7401" },
            { "metricsAddress", control + ":7402" },
            { "dataFolder", (mFolder / "data").string() },
            { "start", "found" },
            { "lostReplicas", 0 },
            { "electionTimeoutMs", 300 } });
    start("gateway",
          common,
          { { "httpAddress", loopbackHost(12) + ":7402" },
            { "platformAddress", mFront },
            { "readinessAddress", loopbackHost(12) + ":7403" },
            { "controlPort", 7400 } });
    start("relay",
          common,
          { { "platformAddress", loopbackHost(13) + ":7401" },
            { "metricsAddress", loopbackHost(13) + ":7402" },
            { "controlPort", 7400 } });
    applyCatalogue(control + ":7401");
    BOOST_REQUIRE(isSubmitted(kStartTimeoutMs));
  }

  ~ProcessesFixture()
  {
    mProcesses.clear();
    boost::system::error_code ignored;
    fs::remove_all(mFolder, ignored);
  }

  void start(const std::string& aName, json aSettings, const json& aOwnSettings)
  {
    aSettings.update(aOwnSettings);
    aSettings["processId"] = aName;
    const std::string file = (mFolder / (aName + ".json")).string();
    std::ofstream(file) << aSettings.dump();
    mProcesses.emplace_back(
      aName,
      takeValue(ChildProcess::start((mPrograms / ("magnoliadrum-" + aName)).string(),
                                    { "--settings=" + file },
                                    (mFolder / (aName + ".log")).string())));
  }

  void applyCatalogue(const std::string& aAddress)
  {
    const json catalogue = { { "Version", 1 },
                             { "Routes",
                               { { { "Name", "watch" },
                                   { "Host", "clients.example" },
                                   { "PathPrefix", "/jobs/" },
                                   { "Type", "non_idempotent" },
                                   { "TimeoutMs", 3000 },
                                   { "TargetLatencyMs", kObjectiveMs },
                                   { "Service", "desk" } } } },
                             { "Services", { { { "Name", "desk" } } } } };
    const std::string text = withLength("PUT", "/-/config", catalogue.dump());
    const Deadline deadline = MonotonicTime::now().plusMs(kStartTimeoutMs);
    while (MonotonicTime::now() < deadline) {
      Caller caller(aAddress);
      caller.sendSome(text, text.size());
      if (caller.readAnswer(1000).starts_with("HTTP/1.1 200")) {
        return;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    BOOST_FAIL("the catalogue was not accepted");
  }

  /** Hands a job in; true if it was accepted within aMs, refusals that say "not run" repeated. */
  bool isSubmitted(std::int64_t aMs)
  {
    const Deadline deadline = MonotonicTime::now().plusMs(aMs);
    std::string digits = std::to_string(++mJobs);
    digits.insert(0, 16 - digits.size(), '0');
    const std::string text =
      withLength("POST", "/jobs/" + digits, R"({"Spec":"s","Steps":[{"Count":1,"Cpu":100}]})");
    while (MonotonicTime::now() < deadline) {
      Caller caller(mFront);
      caller.sendSome(text, text.size());
      const std::string answer = caller.readAnswer(deadline.msSince(MonotonicTime::now()));
      if (answer.starts_with("HTTP/1.1 200")) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
  }

  /** Plays a pattern against an address and checks the promises while the crowd stays. */
  void play(const std::string& aAddress, const Pattern& aPattern)
  {
    std::vector<std::unique_ptr<Caller>> crowd;
    for (std::size_t number = 0; number < aPattern.callers; number++) {
      crowd.push_back(std::make_unique<Caller>(aAddress));
    }
    for (std::size_t round = 0; round < aPattern.rounds; round++) {
      for (const std::unique_ptr<Caller>& caller : crowd) {
        caller->sendSome(aPattern.text, aPattern.pieceBytes);
      }
    }
    BOOST_TEST(isSubmitted(kObjectiveMs), "no job was accepted");
    for (const auto& [name, process] : mProcesses) {
      BOOST_TEST(process->isRunning(), name << " ended");
      const std::int64_t peakMb = peakBytes(process->processId()) >> 20;
      BOOST_TEST(peakMb <= kMemoryMb, name << " used " << peakMb << " MB");
    }
  }

  static constexpr std::int64_t kStartTimeoutMs = 10000;

  fs::path mPrograms;
  fs::path mFolder;
  std::string mFront = loopbackHost(12) + ":7401";
  std::vector<std::pair<std::string, std::unique_ptr<ChildProcess>>> mProcesses;
  int mJobs = 0;
};

} // namespace

// Load: crowds that stop half-way, send or read slowly, or send more than the limits, one pattern
// after the other at each address. Guards against a process that ends, exceeds the memory of its VM
// or stops taking jobs.
BOOST_FIXTURE_TEST_CASE(processes_stay_within_their_memory_and_take_jobs, ProcessesFixture)
{
  struct Door
  {
    std::string address;
    std::string method;
    std::string path;
  };
  const std::vector<Door> doors = {
    { mFront, "POST", "/jobs/00000000000000ff" },
    { mFront, "POST", "/no/such/route" },
    { loopbackHost(12) + ":7403", "GET", "/-/readyz" },
    { loopbackHost(12) + ":7402", "PUT", "/v1/catalogue/x" },
    { loopbackHost(11) + ":7401", "PUT", "/-/config" },
    { loopbackHost(11) + ":7402", "GET", "/metrics" },
    { loopbackHost(13) + ":7401", "PUT", "/-/instances/w" },
    { loopbackHost(13) + ":7402", "GET", "/metrics" },
  };
  for (const Door& door : doors) {
    for (const Pattern& pattern : patterns(door.method, door.path)) {
      BOOST_TEST_CONTEXT(door.method << " " << door.path << ": " << pattern.name)
      {
        play(door.address, pattern);
      }
    }
  }
  for (const auto& [name, process] : mProcesses) {
    BOOST_TEST_MESSAGE(name << ": peak " << (peakBytes(process->processId()) >> 20) << " MB");
  }
}
