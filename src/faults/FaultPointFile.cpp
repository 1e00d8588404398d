#include "faults/FaultPointFile.h"

#include "observability/observability.h"

#include <csignal>
#include <fstream>
#include <utility>

namespace magnoliadrum {

FaultPointFile::FaultPointFile(std::string aFileName)
  : mFileName(std::move(aFileName))
{
}

std::unique_ptr<FaultPointFile>
FaultPointFile::watch(EventLoop& aLoop, std::string aFileName)
{
  std::unique_ptr<FaultPointFile> file(new FaultPointFile(std::move(aFileName)));
  if (!file->mFileName.empty()) {
    file->mSignal = aLoop.onSignal(SIGUSR1, [self = file.get()]() { self->arm(); });
  }
  return file;
}

void
FaultPointFile::arm() const
{
  std::string text;
  std::ifstream(mFileName) >> text;
  const Result<Done> armed = armFaultPoints(text);
  if (!isOk(armed)) {
    logError("fault points not armed", errorOf(armed));
    return;
  }
  logWarning("fault points armed", { { "points", text } });
}

} // namespace magnoliadrum
