#pragma once

#include "core/core.h"
#include "generated/generated.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum {

/** How the tasks of one catalogue entry really behave, which is not what they declare. */
struct TrueBehaviour
{
  CatalogueEntry entry;
  double cpuMilli = 0;
  double memoryMb = 0;
  /** Run time with all the processor time that a task wants. */
  double runSeconds = 0;
  /** Logarithm of the service's latency grows by this when the entry uses a whole VM. */
  double interference = 0;
  /** Progress up to a multiple of this time survives a stop. */
  double checkpointSeconds = 60;
  bool alwaysFails = false;
};

/** Tasks that are submitted at one time. */
struct Submission
{
  std::int64_t atSecond = 0;
  /** Position in Scenario::batch. */
  std::size_t behaviour = 0;
  int tasks = 0;
  /** Seconds after which the first of these tasks are cancelled; negative for never. */
  std::int64_t cancelAfterSeconds = -1;
  int cancelled = 0;
};

/** The load of the service from a time on, as a share of its highest load. */
struct LoadChange
{
  std::int64_t atSecond = 0;
  double load = 0;
};

/** An experiment: VMs, one service, batch entries and what happens when. */
struct Scenario
{
  std::string name;
  std::int64_t seconds = 3600;
  PolicySettings settings;
  std::vector<TargetDescription> workers;
  /** Workers from the first on that the service shares. */
  std::size_t serviceWorkers = 0;
  /** Position of a worker that fails every task; none when negative. */
  int badWorker = -1;
  CatalogueEntry service;
  double serviceBaseMs = 20;
  Resources serviceReserved;
  std::vector<TrueBehaviour> batch;
  std::vector<Submission> submissions;
  std::vector<LoadChange> loads;

  /** Names that create() knows. */
  static const std::vector<std::string>& names();

  /** Builds a scenario for the workers and weights of "guild" or "delta". */
  static Result<Scenario> create(const std::string& aName, const std::string& aWeights);
};

} // namespace magnoliadrum
