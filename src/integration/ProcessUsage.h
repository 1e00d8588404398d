#pragma once

#include "core/core.h"

#include <cstdint>

namespace magnoliadrum {

/** Resources that a process has used so far. */
struct ProcessUsage
{
  /** Processor time of all threads in microseconds. */
  std::int64_t mCpuUs = 0;
  /** Resident memory in bytes. */
  std::int64_t mResidentBytes = 0;
  /** Bytes that the process caused to be written to disk. */
  std::int64_t mWrittenBytes = 0;

  /** Reads the usage of a running process. */
  static Result<ProcessUsage> read(int aProcessId);
};

} // namespace magnoliadrum
