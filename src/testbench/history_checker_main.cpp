#include "testbench/HistoryChecker.h"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(entries, "", "JSON list of entries with their data centres; empty for no check");
DEFINE_bool(require_finished, false, "every started batch task must be published in the end");
DEFINE_bool(allow_older_checkpoints, false, "a checkpoint may be lost with its VM");

using namespace magnoliadrum;

namespace {

constexpr int kClean = 0;
constexpr int kViolated = 1;
constexpr int kUsage = 2;

int
fail(const Error& aError)
{
  std::cerr << aError.text() << "\n";
  return kUsage;
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage("history-checker [--entries FILE] HISTORY...; exits with 1 when a rule "
                          "is broken");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  HistoryChecker checker({ .mRequireFinished = FLAGS_require_finished,
                           .mAllowOlderCheckpoints = FLAGS_allow_older_checkpoints });
  if (!FLAGS_entries.empty()) {
    const std::ifstream file(FLAGS_entries);
    std::ostringstream text;
    text << file.rdbuf();
    const Result<Done> set = checker.setEntries(text.str());
    if (!isOk(set)) {
      return fail(errorOf(set));
    }
  }
  for (int index = 1; index < aArgumentCount; index++) {
    const Result<Done> added = checker.addFile(aArguments[index]);
    if (!isOk(added)) {
      return fail(errorOf(added));
    }
  }
  const std::vector<HistoryViolation> violations = checker.check();
  for (const HistoryViolation& violation : violations) {
    std::cout << violation.mRule << ": " << violation.mDetail << "\n";
  }
  std::cout << violations.size() << " violations in " << aArgumentCount - 1 << " histories\n";
  return violations.empty() ? kClean : kViolated;
}
