#pragma once

#include "core/core.h"

#include <fstream>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace magnoliadrum {

/** Appends events to a history file, one JSON object a line, each flushed before the next step. */
class HistoryWriter
{
public:
  /** @param aFileName the file to append to; empty to write nothing */
  static Result<std::unique_ptr<HistoryWriter>> open(const std::string& aFileName);

  /** Writes the event with the fields "atMs" (this VM's monotonic clock) and "event" added. */
  void write(const char* aEvent, const nlohmann::json& aFields);

private:
  HistoryWriter() = default;

  std::ofstream mFile;
};

} // namespace magnoliadrum
