#include "observability/observability.h"
#include "testbench/FakeWorker.h"

#include <csignal>
#include <cstdlib>
#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:9000", "IP:port of the worker's interface");
DEFINE_string(history, "", "file to which events are appended; empty for none");
DEFINE_string(data_centre, "", "data centre, written to the history");
DEFINE_int64(cpu_milli, 32000, "processors in thousandths of a core");
DEFINE_int64(memory_mb, 125000, "memory in MB");
DEFINE_int64(accelerators, 0, "accelerators");
DEFINE_int64(usage_lag_ms, 2000, "usage is reported as it was this long ago");
DEFINE_int64(checkpoint_ms, 20, "time to write a checkpoint");
DEFINE_double(fail_share, 0, "share of starts that fail at once");
DEFINE_uint64(seed, 1, "seed of all random choices");

using namespace magnoliadrum;

int
main(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage("fake-worker --listen IP:PORT --history FILE --cpu_milli N");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  configureLogging("fake-worker", "info");
  const Result<Resources> capacity = Resources::create({ .cpuMilli = FLAGS_cpu_milli,
                                                         .memoryMb = FLAGS_memory_mb,
                                                         .accelerators = FLAGS_accelerators });
  if (!isOk(capacity)) {
    logError("fake worker cannot start", errorOf(capacity));
    return EXIT_FAILURE;
  }
  const Result<std::unique_ptr<EventLoop>> loop = EventLoop::create();
  if (!isOk(loop)) {
    logError("fake worker cannot start", errorOf(loop));
    return EXIT_FAILURE;
  }
  const FakeWorker::Options options{ .mListenAddress = FLAGS_listen,
                                     .mHistoryFile = FLAGS_history,
                                     .mDataCentre = FLAGS_data_centre,
                                     .mCapacity = valueOf(capacity),
                                     .mUsageLagMs = FLAGS_usage_lag_ms,
                                     .mFailShare = FLAGS_fail_share,
                                     .mCheckpointMs = FLAGS_checkpoint_ms,
                                     .mSeed = FLAGS_seed };
  const Result<std::unique_ptr<FakeWorker>> worker = FakeWorker::start(*valueOf(loop), options);
  if (!isOk(worker)) {
    logError("fake worker cannot start", errorOf(worker));
    return EXIT_FAILURE;
  }
  const auto onTerminate = [&loop]() { valueOf(loop)->stop(); };
  const EventHandlePointer terminate = valueOf(loop)->onSignal(SIGTERM, onTerminate);
  const EventHandlePointer interrupt = valueOf(loop)->onSignal(SIGINT, onTerminate);
  valueOf(loop)->run();
  return EXIT_SUCCESS;
}
