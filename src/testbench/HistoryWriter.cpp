#include "testbench/HistoryWriter.h"

#include <nlohmann/json.hpp>

namespace magnoliadrum {

Result<std::unique_ptr<HistoryWriter>>
HistoryWriter::open(const std::string& aFileName)
{
  std::unique_ptr<HistoryWriter> writer(new HistoryWriter());
  if (aFileName.empty()) {
    return writer;
  }
  writer->mFile.open(aFileName, std::ios::app);
  if (!writer->mFile) {
    return Error::create(ErrorCode::eIo, "history.open", aFileName, "cannot be written");
  }
  return writer;
}

void
HistoryWriter::write(const char* aEvent, const nlohmann::json& aFields)
{
  if (!mFile.is_open()) {
    return;
  }
  nlohmann::json line = aFields;
  line["atMs"] = MonotonicTime::now().ms();
  line["event"] = aEvent;
  constexpr auto kReplaceBadText = nlohmann::json::error_handler_t::replace;
  mFile << line.dump(-1, ' ', false, kReplaceBadText) << std::endl;
}

} // namespace magnoliadrum
