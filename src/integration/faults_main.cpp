#include "integration/FaultMatrix.h"
#include "observability/observability.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(cells, "all", "all, ci, list, or the start of the names of the cells to run");
DEFINE_string(cell, "", "run only the cell of this exact name, in this process");
DEFINE_string(programs, "build", "folder with the built programs");
DEFINE_string(run_folder, "run/faults", "folder for settings, data, logs and histories");
DEFINE_string(known_red,
              "KNOWN-RED.txt",
              "cells that are known to fail; they are run and shown, and do not fail the run");
DEFINE_uint64(seed, 1, "seed of the workload");
DEFINE_int32(jobs, 3, "cells that run at once");

int
main(int aCount, char** aValues)
{
  using namespace magnoliadrum;
  gflags::SetUsageMessage("Runs the fault matrix with real processes on loopback.");
  gflags::ParseCommandLineFlags(&aCount, &aValues, true);
  configureLogging("faults", "warn");
  const FaultMatrixOptions options{ FLAGS_cells, FLAGS_programs, FLAGS_run_folder, FLAGS_known_red,
                                    FLAGS_seed,  FLAGS_jobs,     aValues[0] };
  if (!FLAGS_cell.empty()) {
    return runOneCell(FLAGS_cell, options, std::cout);
  }
  return runFaultMatrix(options, std::cout);
}
