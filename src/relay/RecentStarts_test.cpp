#include "relay/relay.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;

namespace {

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
suspectsOf(const RecentStarts& aStarts)
{
  std::vector<std::string> tasks;
  for (const SuspectedRun& run : aStarts.suspects()) {
    tasks.push_back(run.task());
  }
  return tasks;
}

} // namespace

BOOST_AUTO_TEST_SUITE(recent_starts)

// Guards against blaming a task that has long been running for a crash of its worker.
BOOST_AUTO_TEST_CASE(run_that_was_listed_for_long_enough_is_not_suspected)
{
  RecentStarts starts;
  starts.onStartSent("a.0.0.0", 1);
  starts.onRunLists(listsAt(1000, { "a.0.0.0" }));
  starts.onStartSent("b.0.0.0", 1);
  BOOST_TEST(suspectsOf(starts) == (std::vector<std::string>{ "a.0.0.0", "b.0.0.0" }));
  starts.onRunLists(listsAt(1000 + kHarmlessRunMs, { "a.0.0.0", "b.0.0.0" }));
  BOOST_TEST(suspectsOf(starts) == std::vector<std::string>{ "b.0.0.0" });
}

// Guards against losing the cause of a crash: its start order got no answer, and the order that
// repeated it found the worker gone.
BOOST_AUTO_TEST_CASE(repeated_order_that_is_not_sent_keeps_the_suspicion)
{
  RecentStarts starts;
  starts.onStartSent("a.0.0.0", 1);
  starts.onStartAnswered("a.0.0.0", 1, OrderResult::eNoAnswer);
  starts.onStartSent("a.0.0.0", 1);
  starts.onStartAnswered("a.0.0.0", 1, OrderResult::eNotSent);
  BOOST_TEST(suspectsOf(starts) == std::vector<std::string>{ "a.0.0.0" });
}

// Guards against blaming tasks that never reached the worker.
BOOST_AUTO_TEST_CASE(runs_that_were_rejected_or_not_sent_are_not_suspected)
{
  RecentStarts starts;
  starts.onStartSent("a.0.0.0", 1);
  starts.onStartAnswered("a.0.0.0", 1, OrderResult::eNotSent);
  starts.onStartSent("b.0.0.0", 1);
  starts.onStartAnswered("b.0.0.0", 1, OrderResult::eRoom);
  BOOST_TEST(starts.suspects().empty());
}

BOOST_AUTO_TEST_CASE(ended_run_is_not_suspected)
{
  RecentStarts starts;
  starts.onStartSent("a.0.0.0", 1);
  RunLists lists = listsAt(1000, {});
  lists.ended.push_back(valueOf(
    ListedEnd::create({ .number = 1, .task = "a.0.0.0", .run = 1, .how = RunEnd::eFailed })));
  starts.onRunLists(lists);
  BOOST_TEST(starts.suspects().empty());
}

// Guards against a job that is given up for a crash that another task caused while the start order
// of this one was on its way.
BOOST_AUTO_TEST_CASE(run_without_an_answer_is_not_known_to_have_begun)
{
  RecentStarts starts;
  starts.onStartSent("a.0.0.0", 1);
  starts.onStartAnswered("a.0.0.0", 1, OrderResult::eNoAnswer);
  BOOST_TEST(!starts.suspects().front().begun());
  starts.onStartAnswered("a.0.0.0", 1, OrderResult::eAccepted);
  BOOST_TEST(starts.suspects().front().begun());
}

BOOST_AUTO_TEST_SUITE_END()
