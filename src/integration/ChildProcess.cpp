#include "integration/ChildProcess.h"

#include <boost/process.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <system_error>
#include <thread>

namespace magnoliadrum {

namespace {

constexpr std::chrono::milliseconds kPollPeriod(5);

} // namespace

struct ChildProcess::Handle
{
  boost::process::child mChild;
};

ChildProcess::ChildProcess(std::unique_ptr<Handle> aHandle)
  : mHandle(std::move(aHandle))
{
}

ChildProcess::~ChildProcess()
{
  kill();
}

Result<std::unique_ptr<ChildProcess>>
ChildProcess::start(const std::string& aProgram,
                    const std::vector<std::string>& aArguments,
                    const std::string& aLogFile)
{
  const std::unique_ptr<FILE, int (*)(FILE*)> log(std::fopen(aLogFile.c_str(), "ae"), std::fclose);
  if (log == nullptr) {
    return Error::create(ErrorCode::eIo, "open log file", aLogFile, "cannot be opened");
  }
  std::error_code error;
  std::unique_ptr<Handle> handle = std::make_unique<Handle>();
  handle->mChild = boost::process::child(
    aProgram,
    boost::process::args(aArguments),
    boost::process::std_in<boost::process::null,
                           (boost::process::std_out & boost::process::std_err)> log.get(),
    error);
  if (error) {
    return Error::create(ErrorCode::eIo, "start process", aProgram, error.message());
  }
  return std::unique_ptr<ChildProcess>(new ChildProcess(std::move(handle)));
}

bool
ChildProcess::isRunning()
{
  std::error_code error;
  return mHandle->mChild.running(error) && !error;
}

int
ChildProcess::processId() const
{
  return mHandle->mChild.id();
}

void
ChildProcess::signal(int aSignal)
{
  if (isRunning()) {
    ::kill(mHandle->mChild.id(), aSignal);
  }
}

void
ChildProcess::kill()
{
  if (!isRunning()) {
    return;
  }
  ::kill(mHandle->mChild.id(), SIGKILL);
  std::error_code ignored;
  mHandle->mChild.wait(ignored);
}

void
ChildProcess::freeze()
{
  signal(SIGSTOP);
}

void
ChildProcess::resume()
{
  signal(SIGCONT);
}

Result<int>
ChildProcess::waitForExit(Deadline aDeadline)
{
  while (isRunning()) {
    if (MonotonicTime::now() >= aDeadline) {
      return Error::create(ErrorCode::eTimeout,
                           "wait for exit",
                           "process " + std::to_string(mHandle->mChild.id()),
                           "still runs");
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return mHandle->mChild.exit_code();
}

} // namespace magnoliadrum
