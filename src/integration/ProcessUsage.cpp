#include "integration/ProcessUsage.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace magnoliadrum {

namespace {

constexpr std::int64_t kUsPerSecond = 1000000;

/** Number of fields between the program name and utime in /proc/PID/stat. */
constexpr int kFieldsBeforeUserTime = 11;

} // namespace

Result<ProcessUsage>
ProcessUsage::read(int aProcessId)
{
  const std::string folder = "/proc/" + std::to_string(aProcessId);
  std::ifstream statFile(folder + "/stat");
  std::string line;
  std::getline(statFile, line);
  const std::size_t nameEnd = line.rfind(')');
  if (nameEnd == std::string::npos) {
    return Error::create(ErrorCode::eNotFound, "read usage", folder, "process does not run");
  }
  std::istringstream fields(line.substr(nameEnd + 1));
  std::string skipped;
  for (int field = 0; field < kFieldsBeforeUserTime; field++) {
    fields >> skipped;
  }
  std::int64_t userTicks = 0;
  std::int64_t systemTicks = 0;
  fields >> userTicks >> systemTicks;
  ProcessUsage usage;
  usage.mCpuUs = (userTicks + systemTicks) * kUsPerSecond / sysconf(_SC_CLK_TCK);
  std::int64_t totalPages = 0;
  std::int64_t residentPages = 0;
  std::ifstream(folder + "/statm") >> totalPages >> residentPages;
  usage.mResidentBytes = residentPages * sysconf(_SC_PAGESIZE);
  std::ifstream ioFile(folder + "/io");
  while (std::getline(ioFile, line)) {
    if (line.starts_with("write_bytes: ")) {
      usage.mWrittenBytes = std::stoll(line.substr(line.find(' ') + 1));
    }
  }
  return usage;
}

} // namespace magnoliadrum
