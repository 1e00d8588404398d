#include "integration/CapacityProbe.h"
#include "observability/observability.h"

#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>

DEFINE_string(programs, "build", "folder with the built programs");
DEFINE_string(run_folder, "run/capacity", "folder for settings, data and logs; emptied");
DEFINE_int32(sessions, 400, "sessions up to which the slopes are measured; over 100");
DEFINE_string(format, "table", "table or json");

int
main(int aCount, char** aValues)
{
  using namespace magnoliadrum;
  gflags::SetUsageMessage(
    "Measures what one more session, entry, task or intent costs the control group.");
  gflags::ParseCommandLineFlags(&aCount, &aValues, true);
  configureLogging("capacity", "error");
  Result<std::unique_ptr<CapacityProbe>> probe =
    CapacityProbe::create(FLAGS_programs, FLAGS_run_folder, FLAGS_sessions);
  if (!isOk(probe)) {
    std::cerr << errorOf(probe).text() << "\n";
    return 1;
  }
  const Result<std::vector<Slope>> slopes = valueOf(probe)->measure();
  if (!isOk(slopes)) {
    std::cerr << errorOf(slopes).text() << "\n";
    return 1;
  }
  nlohmann::json json = nlohmann::json::array();
  for (const Slope& slope : valueOf(slopes)) {
    json.push_back({ { "name", slope.mName }, { "unit", slope.mUnit }, { "value", slope.mValue } });
    if (FLAGS_format == "table") {
      std::cout << "| " << slope.mName << " | " << std::setprecision(4) << slope.mValue << " | "
                << slope.mUnit << " |\n";
    }
  }
  if (FLAGS_format == "json") {
    std::cout << json.dump(2) << "\n";
  }
  return 0;
}
