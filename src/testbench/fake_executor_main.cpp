#include "observability/observability.h"
#include "testbench/FakeExecutor.h"

#include <csignal>
#include <cstdlib>
#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:9000", "IP:port for requests");
DEFINE_string(history, "", "file to which events are appended; empty for none");
DEFINE_string(data_centre, "", "data centre, written to the history");
DEFINE_int64(slots, 8, "requests that run at full speed at once");
DEFINE_uint64(seed, 1, "seed of all random choices");
DEFINE_double(service_ms, 5, "mean service time");
DEFINE_string(distribution, "exponential", "constant, exponential or lognormal service times");
DEFINE_double(slow_share, 0, "share of requests that are slow");
DEFINE_double(slow_factor, 20, "how much longer a slow request takes");
DEFINE_double(fail_share, 0, "share of requests that are answered with status 500");
DEFINE_double(cut_share, 0, "share of answers that are cut in the middle");
DEFINE_double(close_share, 0, "share of requests whose connection is closed without an answer");

using namespace magnoliadrum;

int
main(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage("fake-executor --listen IP:PORT --history FILE --slots N");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  configureLogging("fake-executor", "info");
  const Result<std::unique_ptr<EventLoop>> loop = EventLoop::create();
  if (!isOk(loop)) {
    logError("fake executor cannot start", errorOf(loop));
    return EXIT_FAILURE;
  }
  const FakeExecutor::Options options{ .mListenAddress = FLAGS_listen,
                                       .mHistoryFile = FLAGS_history,
                                       .mDataCentre = FLAGS_data_centre,
                                       .mSlots = FLAGS_slots,
                                       .mSeed = FLAGS_seed,
                                       .mBehaviour = { .mDistribution = FLAGS_distribution,
                                                       .mMeanServiceMs = FLAGS_service_ms,
                                                       .mSlowShare = FLAGS_slow_share,
                                                       .mSlowFactor = FLAGS_slow_factor,
                                                       .mFailShare = FLAGS_fail_share,
                                                       .mCutShare = FLAGS_cut_share,
                                                       .mCloseShare = FLAGS_close_share } };
  const Result<std::unique_ptr<FakeExecutor>> executor =
    FakeExecutor::start(*valueOf(loop), options);
  if (!isOk(executor)) {
    logError("fake executor cannot start", errorOf(executor));
    return EXIT_FAILURE;
  }
  const auto onTerminate = [&loop]() { valueOf(loop)->stop(); };
  const EventHandlePointer terminate = valueOf(loop)->onSignal(SIGTERM, onTerminate);
  const EventHandlePointer interrupt = valueOf(loop)->onSignal(SIGINT, onTerminate);
  valueOf(loop)->run();
  return EXIT_SUCCESS;
}
