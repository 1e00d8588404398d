#pragma once

#include "faults/FaultPoint.h"
#include "transport/EventLoop.h"

#include <memory>
#include <string>

namespace magnoliadrum {

/** Arms the fault points that a file names each time the process gets SIGUSR1, so that a test can
 * choose the moment. */
class FaultPointFile
{
public:
  /** Watches nothing when aFileName is empty, as in every process outside tests. */
  static std::unique_ptr<FaultPointFile> watch(EventLoop& aLoop, std::string aFileName);

private:
  explicit FaultPointFile(std::string aFileName);

  void arm() const;

  std::string mFileName;
  EventHandlePointer mSignal;
};

} // namespace magnoliadrum
