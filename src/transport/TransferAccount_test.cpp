#include "transport/HttpHeaderScanner.h"
#include "transport/TransferAccount.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;

namespace {

constexpr std::size_t kMaxRequestBytes = 300000;
constexpr std::size_t kBodyBytes = 200000;

MonotonicTime
at(std::int64_t aMs)
{
  return MonotonicTime::fromMs(aMs);
}

/** A header of aLines lines. */
HttpHeaderScanner
headerOf(int aLines)
{
  HttpHeaderScanner header;
  for (int line = 0; line < aLines; line++) {
    header.read("name: value\r\n");
  }
  header.read("\r\n");
  return header;
}

/** An account of 8 MB for 100 connections, without sockets. */
struct AccountFixture
{
  AccountFixture()
  {
    mAccount.setLimits({ .maxBytes = std::size_t{ 8 } << 20U, .maxConnections = 100 });
  }

  TransferAccount::ConnectionNumber open(std::int64_t aMs)
  {
    return mAccount.open(
      kMaxRequestBytes, [](TransferRefusal /*aReason*/, bool /*aCanAnswer*/) {}, at(aMs));
  }

  /** A connection that has sent its header and aBytes in all. */
  TransferAccount::ConnectionNumber openWith(std::size_t aBytes, std::int64_t aMs)
  {
    const TransferAccount::ConnectionNumber number = open(aMs);
    mAccount.receive(number, aBytes, 4, true, at(aMs));
    return number;
  }

  TransferAccount mAccount;
};

} // namespace

// Load: many bodies of legal size that stop just short of their end. Guards against their sum
// exceeding the account, and against a small request being given up with them.
BOOST_FIXTURE_TEST_CASE(crowd_that_stops_short_is_given_up_oldest_first, AccountFixture)
{
  std::vector<TransferAccount::ConnectionNumber> crowd;
  std::size_t removed = 0;
  for (std::int64_t number = 0; number < 90; number++) {
    crowd.push_back(openWith(kBodyBytes, number));
    for (const TransferAccount::Removal& removal : mAccount.takeRemovals(at(number))) {
      BOOST_TEST(removal.connection == crowd[removed]);
      BOOST_TEST((removal.reason == TransferRefusal::eMemory));
      BOOST_TEST(removal.canAnswer);
      removed++;
    }
    BOOST_TEST(mAccount.bytes() <= mAccount.limits().maxBytes);
  }
  BOOST_TEST(removed > 40U);
  const TransferAccount::ConnectionNumber ordinary = openWith(1000, 100);
  BOOST_TEST(mAccount.admit(ordinary, 600, headerOf(4), at(100)));
}

// Load: many complete bodies of legal size at once, whose answers take long. Guards against large
// requests taking the share that is kept for small ones.
BOOST_FIXTURE_TEST_CASE(complete_large_requests_leave_a_share_for_small_ones, AccountFixture)
{
  std::size_t admitted = 0;
  for (int number = 0; number < 50; number++) {
    admitted += mAccount.admit(openWith(kBodyBytes, 0), kBodyBytes, headerOf(4), at(0)) ? 1 : 0;
  }
  BOOST_TEST(admitted > 5U);
  BOOST_TEST(admitted < 12U);
  BOOST_TEST(mAccount.refusals().at(TransferRefusal::eMemory) == 50 - admitted);
  const TransferAccount::ConnectionNumber small = openWith(2000, 0);
  BOOST_TEST(mAccount.admit(small, 2000, headerOf(4), at(0)));
}

// Guards against bytes that are never given back: after the answers the account is as before.
BOOST_FIXTURE_TEST_CASE(account_is_empty_after_answers_and_ends, AccountFixture)
{
  const TransferAccount::ConnectionNumber number = openWith(kBodyBytes, 0);
  BOOST_TEST(mAccount.admit(number, kBodyBytes, headerOf(4), at(1)));
  mAccount.setUnsent(number, 500, 0, at(2));
  mAccount.finish(number, at(3));
  mAccount.setUnsent(number, 0, 500, at(3));
  BOOST_TEST(mAccount.bytes() == TransferAccount::kConnectionBytes);
  mAccount.close(number);
  BOOST_TEST(mAccount.bytes() == 0U);
}

// Load: crowds that send very slowly or stop half-way. A slow caller whose body keeps coming at the
// least rate is served.
BOOST_FIXTURE_TEST_CASE(slow_requests_are_closed_by_progress, AccountFixture)
{
  const TransferAccount::ConnectionNumber header = open(0);
  mAccount.receive(header, 10, 1, false, at(0));
  const TransferAccount::ConnectionNumber stalled = openWith(1000, 0);
  const TransferAccount::ConnectionNumber steady = openWith(1000, 0);
  for (std::int64_t ms = 0; ms < 9000; ms += 100) {
    mAccount.receive(header, 1, 1, false, at(ms));
    mAccount.receive(steady, 500, 4, true, at(ms));
    for (const TransferAccount::Removal& removal : mAccount.takeRemovals(at(ms))) {
      BOOST_TEST(removal.connection == stalled);
      BOOST_TEST((removal.reason == TransferRefusal::eSlowBody));
    }
  }
  BOOST_TEST(mAccount.takeRemovals(at(9500)).empty());
  const std::vector<TransferAccount::Removal> removals =
    mAccount.takeRemovals(at(TransferAccount::kHeaderTimeoutMs));
  BOOST_REQUIRE(removals.size() == 1U);
  BOOST_TEST(removals[0].connection == header);
  BOOST_TEST((removals[0].reason == TransferRefusal::eSlowHeader));
  BOOST_TEST(mAccount.connections() == 1U);
}

// Load: callers that do not read their answers, or read a byte now and then. One that reads at the
// least rate gets its whole answer.
BOOST_FIXTURE_TEST_CASE(unread_answers_are_dropped, AccountFixture)
{
  const TransferAccount::ConnectionNumber unread = open(0);
  mAccount.setUnsent(unread, 1000000, 0, at(0));
  const TransferAccount::ConnectionNumber steady = open(0);
  mAccount.setUnsent(steady, 1000000, 0, at(0));
  std::vector<TransferAccount::Removal> removals;
  for (std::int64_t ms = 500; ms <= 20000; ms += 500) {
    mAccount.setUnsent(unread, 1000000, 1, at(ms));
    mAccount.setUnsent(steady, 1000000, 3000, at(ms));
    for (TransferAccount::Removal& removal : mAccount.takeRemovals(at(ms))) {
      removals.push_back(std::move(removal));
    }
  }
  BOOST_REQUIRE(removals.size() == 1U);
  BOOST_TEST(removals[0].connection == unread);
  BOOST_TEST((removals[0].reason == TransferRefusal::eUnreadAnswer));
  BOOST_TEST(!removals[0].canAnswer);
}

// Load: a few callers ask for large answers and do not read them. Guards against their answers
// filling the account for good, so that nothing else is admitted, probes of readiness least of all.
BOOST_FIXTURE_TEST_CASE(unread_answers_do_not_shut_others_out, AccountFixture)
{
  for (int number = 0; number < 40; number++) {
    const TransferAccount::ConnectionNumber caller = openWith(200, number);
    BOOST_TEST(mAccount.admit(caller, 0, headerOf(4), at(number)));
    mAccount.finish(caller, at(number));
    mAccount.setUnsent(caller, 1900000, 0, at(number));
    mAccount.takeRemovals(at(number));
    BOOST_TEST(mAccount.bytes() <= mAccount.limits().maxBytes);
  }
  const TransferAccount::ConnectionNumber ordinary = openWith(1000, 100);
  BOOST_TEST(mAccount.admit(ordinary, 600, headerOf(4), at(100)));
}

// Load: requests without a body but with large headers, whose answers take long because there is no
// leader. Guards against an account that counts only bodies.
BOOST_FIXTURE_TEST_CASE(headers_of_handled_requests_count, AccountFixture)
{
  std::size_t admitted = 0;
  for (int number = 0; number < 1000; number++) {
    admitted += mAccount.admit(openWith(3000, 0), 0, headerOf(200), at(0)) ? 1 : 0;
  }
  BOOST_TEST(admitted < 200U);
}

// Guards against callers that are blamed for a standstill of the VM: their bytes waited unread.
BOOST_FIXTURE_TEST_CASE(a_standstill_of_the_process_counts_for_nobody, AccountFixture)
{
  openWith(1000, 0);
  BOOST_TEST(mAccount.takeRemovals(at(100)).empty());
  BOOST_TEST(mAccount.takeRemovals(at(20000)).empty());
  for (std::int64_t ms = 20200; ms < 26000; ms += 200) {
    mAccount.takeRemovals(at(ms));
  }
  BOOST_TEST(mAccount.connections() == 0U);
}

// Load: more connections than the process has descriptors for. A request that is being handled is
// never given up for them.
BOOST_FIXTURE_TEST_CASE(idle_connections_give_way_to_new_ones, AccountFixture)
{
  const TransferAccount::ConnectionNumber busy = openWith(1000, 0);
  BOOST_TEST(mAccount.admit(busy, 900, headerOf(4), at(0)));
  const TransferAccount::ConnectionNumber idle = open(1);
  for (int number = 0; number < 99; number++) {
    open(2 + number);
  }
  const std::vector<TransferAccount::Removal> removals = mAccount.takeRemovals(at(200));
  BOOST_REQUIRE(removals.size() == 1U);
  BOOST_TEST(removals[0].connection == idle);
  BOOST_TEST((removals[0].reason == TransferRefusal::eConnections));
}

// Load: headers of legal size with very many short fields, each of which takes far more memory than
// its text.
BOOST_FIXTURE_TEST_CASE(many_header_fields_are_refused_before_they_are_stored, AccountFixture)
{
  const TransferAccount::ConnectionNumber number = open(0);
  HttpHeaderScanner scanner;
  scanner.read("GET / HTTP/1.1\r\n");
  for (int field = 0; field < 300; field++) {
    scanner.read("a:b\r");
    scanner.read("\n");
  }
  BOOST_TEST(scanner.lines() == 301U);
  BOOST_TEST(!scanner.isComplete());
  mAccount.receive(number, scanner.bytes(), scanner.lines(), false, at(0));
  const std::vector<TransferAccount::Removal> removals = mAccount.takeRemovals(at(0));
  BOOST_REQUIRE(removals.size() == 1U);
  BOOST_TEST((removals[0].reason == TransferRefusal::eHeaderFields));
  scanner.read("\r\nbody\nbody\n");
  BOOST_TEST(scanner.isComplete());
  BOOST_TEST(scanner.lines() == 301U);
}
