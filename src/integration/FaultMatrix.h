#pragma once

#include <cstdint>
#include <ostream>
#include <string>

namespace magnoliadrum {

/** What to run; see the flags of magnoliadrum-faults. */
struct FaultMatrixOptions
{
  std::string mCells;
  std::string mProgramFolder;
  std::string mRunFolder;
  std::string mKnownRedFile;
  std::uint64_t mSeed = 1;
  int mJobs = 1;
  /** This program, which is started once per cell, so that each cell has processes and addresses of
   * its own. */
  std::string mProgram;
};

/** Runs one cell in this process and prints its violations. Returns 0 for a pass. */
int
runOneCell(const std::string& aName, const FaultMatrixOptions& aOptions, std::ostream& aOut);

/** Runs the chosen cells, prints a line as each ends and a table at the end. Returns 0 when all but
 * known cells pass. */
int
runFaultMatrix(const FaultMatrixOptions& aOptions, std::ostream& aOut);

} // namespace magnoliadrum
