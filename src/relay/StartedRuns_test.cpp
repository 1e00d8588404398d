#include "relay/relay.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;

namespace {

MonotonicTime
at(std::int64_t aMs)
{
  return MonotonicTime::fromMs(aMs);
}

RunLists
listsAt(std::int64_t aClockMs, const std::vector<std::string>& aRunning)
{
  RunLists lists;
  lists.clockMs = aClockMs;
  for (const std::string& task : aRunning) {
    lists.running.push_back(valueOf(ListedRun::create({ .task = task, .run = 1 })));
  }
  return lists;
}

std::vector<std::string>
suspectsOf(const StartedRuns& aStarts)
{
  std::vector<std::string> tasks;
  for (const SuspectedRun& run : aStarts.suspects(at(0))) {
    tasks.push_back(run.task());
  }
  return tasks;
}

} // namespace

BOOST_AUTO_TEST_SUITE(started_runs)

// Guards against blaming a task that has long been running as much as one that has just begun, and
// against a task that crashes its worker late and is never named.
BOOST_AUTO_TEST_CASE(runs_are_named_with_the_time_for_which_they_have_worked)
{
  StartedRuns starts;
  starts.onStartSent("a.0.0.0", 1, at(1000));
  starts.onRunLists(listsAt(1000, { "a.0.0.0" }), at(1100));
  starts.onStartSent("b.0.0.0", 1, at(2500));
  starts.onRunLists(listsAt(3000, { "a.0.0.0", "b.0.0.0" }), at(3000));
  const std::vector<SuspectedRun> suspects = starts.suspects(at(3500));
  BOOST_REQUIRE(suspects.size() == 2u);
  BOOST_TEST(suspects[0].task() == "a.0.0.0");
  BOOST_TEST(suspects[0].ranMs() == 2500);
  BOOST_TEST(suspects[1].task() == "b.0.0.0");
  BOOST_TEST(suspects[1].ranMs() == 1000);
}

// Guards against losing the cause of a crash: its start order got no answer, and the order that
// repeated it found the worker gone.
BOOST_AUTO_TEST_CASE(repeated_order_that_is_not_sent_keeps_the_suspicion)
{
  StartedRuns starts;
  starts.onStartSent("a.0.0.0", 1, at(0));
  starts.onStartAnswered("a.0.0.0", 1, OrderResult::eNoAnswer);
  starts.onStartSent("a.0.0.0", 1, at(0));
  starts.onStartAnswered("a.0.0.0", 1, OrderResult::eNotSent);
  BOOST_TEST(suspectsOf(starts) == std::vector<std::string>{ "a.0.0.0" });
}

// Guards against blaming tasks that never reached the worker.
BOOST_AUTO_TEST_CASE(runs_that_were_rejected_or_not_sent_are_not_suspected)
{
  StartedRuns starts;
  starts.onStartSent("a.0.0.0", 1, at(0));
  starts.onStartAnswered("a.0.0.0", 1, OrderResult::eNotSent);
  starts.onStartSent("b.0.0.0", 1, at(0));
  starts.onStartAnswered("b.0.0.0", 1, OrderResult::eRoom);
  BOOST_TEST(starts.suspects(at(0)).empty());
}

BOOST_AUTO_TEST_CASE(ended_run_is_not_suspected)
{
  StartedRuns starts;
  starts.onStartSent("a.0.0.0", 1, at(0));
  RunLists lists = listsAt(1000, {});
  lists.ended.push_back(valueOf(
    ListedEnd::create({ .number = 1, .task = "a.0.0.0", .run = 1, .how = RunEnd::eFailed })));
  starts.onRunLists(lists, at(0));
  BOOST_TEST(starts.suspects(at(0)).empty());
}

// Guards against a job that is given up for a crash that another task caused while the start order
// of this one was on its way.
BOOST_AUTO_TEST_CASE(run_without_an_answer_is_not_known_to_have_begun)
{
  StartedRuns starts;
  starts.onStartSent("a.0.0.0", 1, at(0));
  starts.onStartAnswered("a.0.0.0", 1, OrderResult::eNoAnswer);
  BOOST_TEST(!starts.suspects(at(0)).front().begun());
  starts.onStartAnswered("a.0.0.0", 1, OrderResult::eAccepted);
  BOOST_TEST(starts.suspects(at(0)).front().begun());
}

BOOST_AUTO_TEST_SUITE_END()
