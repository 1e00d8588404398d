#include "integration/FaultMatrix.h"

#include "integration/FaultScenario.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <map>
#include <sstream>

namespace magnoliadrum {

namespace {

/** A cell that takes longer is reported as failed. */
constexpr std::int64_t kCellLimitMs = 180000;

enum class CellResult
{
  ePassed,
  eFailed,
  eKnownRed
};

struct RunningCell
{
  FaultCell mCell;
  std::unique_ptr<ChildProcess> mProcess;
  Deadline mDeadline;
};

std::string
folderOf(const FaultCell& aCell, const FaultMatrixOptions& aOptions)
{
  std::string name = aCell.name();
  std::replace(name.begin(), name.end(), '/', '_');
  return aOptions.mRunFolder + "/" + name;
}

std::vector<FaultCell>
chooseCells(const std::string& aChoice)
{
  std::vector<FaultCell> chosen;
  for (const FaultCell& cell : allFaultCells()) {
    const bool isChosen =
      aChoice == "all" || (aChoice == "ci" && cell.mInCi) || cell.name().starts_with(aChoice);
    if (isChosen) {
      chosen.push_back(cell);
    }
  }
  return chosen;
}

/** Names after "cell:" in the file of known failures. */
std::vector<std::string>
readKnownRed(const std::string& aFileName)
{
  std::vector<std::string> names;
  std::ifstream file(aFileName);
  std::string line;
  const std::string prefix = "cell: ";
  while (std::getline(file, line)) {
    if (line.starts_with(prefix)) {
      names.push_back(line.substr(prefix.size()));
    }
  }
  return names;
}

const char*
toText(CellResult aResult)
{
  switch (aResult) {
    case CellResult::ePassed:
      return "passed";
    case CellResult::eFailed:
      return "FAILED";
    case CellResult::eKnownRed:
      return "known red";
  }
  return "";
}

/** Runs cells as child processes, several at once. */
class MatrixRun
{
public:
  MatrixRun(FaultMatrixOptions aOptions, std::ostream& aOut)
    : mOptions(std::move(aOptions))
    , mOut(aOut)
    , mKnownRed(readKnownRed(mOptions.mKnownRedFile))
  {
  }

  bool run(const std::vector<FaultCell>& aCells)
  {
    std::size_t next = 0;
    while (next < aCells.size() || !mRunning.empty()) {
      while (next < aCells.size() && mRunning.size() < static_cast<std::size_t>(mOptions.mJobs)) {
        startCell(aCells[next++]);
      }
      collect(aCells.size());
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    printTable(aCells);
    return mFailed == 0;
  }

private:
  void startCell(const FaultCell& aCell)
  {
    const std::string folder = folderOf(aCell, mOptions);
    std::filesystem::create_directories(mOptions.mRunFolder);
    std::filesystem::remove(folder + ".result");
    Result<std::unique_ptr<ChildProcess>> process =
      ChildProcess::start(mOptions.mProgram,
                          { "--cell=" + aCell.name(),
                            "--programs=" + mOptions.mProgramFolder,
                            "--run_folder=" + mOptions.mRunFolder,
                            "--seed=" + std::to_string(mOptions.mSeed) },
                          folder + ".result");
    if (!isOk(process)) {
      finish(aCell, false, errorOf(process).text());
      return;
    }
    mRunning.push_back(
      { aCell, takeValue(std::move(process)), MonotonicTime::now().plusMs(kCellLimitMs) });
  }

  void collect(std::size_t aTotal)
  {
    mTotal = aTotal;
    for (std::size_t index = 0; index < mRunning.size();) {
      RunningCell& cell = mRunning[index];
      const bool isLate = MonotonicTime::now() > cell.mDeadline;
      if (cell.mProcess->isRunning() && !isLate) {
        index++;
        continue;
      }
      const Result<int> code = cell.mProcess->waitForExit(MonotonicTime::now());
      std::ifstream file(folderOf(cell.mCell, mOptions) + ".result");
      std::stringstream text;
      text << file.rdbuf();
      finish(cell.mCell, isOk(code) && valueOf(code) == 0, text.str());
      mRunning.erase(mRunning.begin() + static_cast<std::ptrdiff_t>(index));
    }
  }

  void finish(const FaultCell& aCell, bool aPassed, const std::string& aText)
  {
    const bool isKnown =
      std::find(mKnownRed.begin(), mKnownRed.end(), aCell.name()) != mKnownRed.end();
    const CellResult result = aPassed   ? CellResult::ePassed
                              : isKnown ? CellResult::eKnownRed
                                        : CellResult::eFailed;
    mResults[aCell.name()] = result;
    mFailed += result == CellResult::eFailed ? 1 : 0;
    mOut << "[" << mResults.size() << "/" << mTotal << "] " << toText(result) << " " << aCell.name()
         << std::endl;
    if (!aPassed) {
      mOut << aText;
    }
  }

  void printTable(const std::vector<FaultCell>& aCells)
  {
    constexpr int kNameWidth = 70;
    mOut << "\ncell" << std::string(kNameWidth - 4, ' ') << "result\n";
    int passed = 0;
    for (const FaultCell& cell : aCells) {
      const CellResult result = mResults.at(cell.name());
      passed += result == CellResult::ePassed ? 1 : 0;
      mOut << std::left << std::setw(kNameWidth) << cell.name() << toText(result) << "\n";
    }
    mOut << passed << " passed, " << mFailed << " failed, "
         << aCells.size() - static_cast<std::size_t>(passed + mFailed) << " known red\n";
  }

  FaultMatrixOptions mOptions;
  std::ostream& mOut;
  std::vector<std::string> mKnownRed;
  std::vector<RunningCell> mRunning;
  std::map<std::string, CellResult> mResults;
  std::size_t mTotal = 0;
  int mFailed = 0;
};

} // namespace

int
runOneCell(const std::string& aName, const FaultMatrixOptions& aOptions, std::ostream& aOut)
{
  for (const FaultCell& cell : allFaultCells()) {
    if (cell.name() != aName) {
      continue;
    }
    const Result<FaultReport> report = FaultScenario::run(
      cell, { aOptions.mProgramFolder, folderOf(cell, aOptions), aOptions.mSeed });
    if (!isOk(report)) {
      aOut << "  " << errorOf(report).text() << "\n";
      return 1;
    }
    const FaultReport& value = valueOf(report);
    aOut << "  requests " << value.mLoad.mSent << ", done " << value.mLoad.mDone << ", not run "
         << value.mLoad.mNotRun << ", unknown " << value.mLoad.mUnknown << ", no answer "
         << value.mLoad.mNoAnswer << "\n";
    for (const std::string& violation : value.mViolations) {
      aOut << "  violation: " << violation << "\n";
    }
    if (!value.mHit) {
      aOut << "  the fault did not happen\n";
    }
    return value.mHit && value.mViolations.empty() ? 0 : 1;
  }
  aOut << "  no cell is named " << aName << "\n";
  return 1;
}

int
runFaultMatrix(const FaultMatrixOptions& aOptions, std::ostream& aOut)
{
  if (aOptions.mCells == "list") {
    for (const FaultCell& cell : allFaultCells()) {
      aOut << cell.name() << (cell.mInCi ? " (ci)" : "") << "\n";
    }
    return 0;
  }
  const std::vector<FaultCell> cells = chooseCells(aOptions.mCells);
  if (cells.empty()) {
    aOut << "no cell matches " << aOptions.mCells << "\n";
    return 1;
  }
  MatrixRun run(aOptions, aOut);
  return run.run(cells) ? 0 : 1;
}

} // namespace magnoliadrum
