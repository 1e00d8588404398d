#pragma once

#include "core/core.h"

#include <memory>
#include <string>
#include <vector>

namespace magnoliadrum {

/** A program that this process started. Destroying it kills the program. */
class ChildProcess
{
public:
  /** Starts a program with its standard output and error appended to aLogFile. */
  static Result<std::unique_ptr<ChildProcess>> start(const std::string& aProgram,
                                                     const std::vector<std::string>& aArguments,
                                                     const std::string& aLogFile);

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess();

  bool isRunning();

  int processId() const;

  /** Sends a signal. */
  void signal(int aSignal);

  /** Kills the program and waits for its end. */
  void kill();

  /** Stops the program with SIGSTOP until resume(). */
  void freeze();
  void resume();

  /** Waits for the end until the deadline. Returns the exit code, or an Error when it still runs.
   */
  Result<int> waitForExit(Deadline aDeadline);

private:
  struct Handle;

  explicit ChildProcess(std::unique_ptr<Handle> aHandle);

  std::unique_ptr<Handle> mHandle;
};

} // namespace magnoliadrum
