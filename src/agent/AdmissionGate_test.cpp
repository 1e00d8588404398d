#include "agent/AdmissionGate.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;

namespace {

constexpr MonotonicTime kNow = MonotonicTime::fromMs(1000);
constexpr SessionLease kLease{ .mSession = 7, .mLeaseUntil = kNow.plusMs(500) };

CatalogueEntry
entryIn(std::vector<std::string> aDataCentres, bool aServeWithoutControl = false)
{
  return valueOf(CatalogueEntry::create({ .name = "yield-check",
                                          .owner = "delta",
                                          .kind = EntryKind::eService,
                                          .workClass = WorkClass::eLatencyCritical,
                                          .dataCentres = std::move(aDataCentres),
                                          .serveWithoutControl = aServeWithoutControl }));
}

RequestDispatch
request(const std::string& aId, std::int64_t aSession = 7, const std::string& aName = "yield-check")
{
  return valueOf(RequestDispatch::create({ .requestId = aId,
                                           .entryName = aName,
                                           .session = aSession,
                                           .deadlineMs = kNow.plusMs(100).ms(),
                                           .method = "GET",
                                           .path = "/" }));
}

struct Fixture
{
  AdmissionGate mGate{
    { .mEntryName = "yield-check", .mDataCentre = "Tulcea", .mSlots = 2, .mConnections = 64 }
  };
  CatalogueEntry mEntry = entryIn({ "Tulcea" });
};

void
checkRefused(std::optional<RefusalReason> aActual, RefusalReason aExpected)
{
  BOOST_REQUIRE(aActual.has_value());
  BOOST_TEST(toText(*aActual) == toText(aExpected));
}

} // namespace

// Guards against a duplicate dispatch that is refused as "not run" while the first copy is running,
// which would make the gateway send a non-repeatable request to another target. Also guards against
// a duplicate that runs after the first copy was refused.
BOOST_FIXTURE_TEST_CASE(duplicate_dispatch_is_detected_until_after_its_deadline, Fixture)
{
  constexpr std::int64_t kIdRetentionMs = 60000;
  BOOST_TEST(mGate.recordArrival(request("a"), kNow));
  BOOST_TEST(!mGate.recordArrival(request("a"), kNow));
  BOOST_TEST(mGate.recordArrival(request("b"), kNow));
  BOOST_TEST(!mGate.recordArrival(request("a"), kNow.plusMs(kIdRetentionMs)));
  BOOST_TEST(mGate.recordArrival(request("a"), kNow.plusMs(2 * kIdRetentionMs)));
}

// Guards against running a request under a session that control has already ended.
BOOST_FIXTURE_TEST_CASE(request_without_a_valid_session_is_refused, Fixture)
{
  checkRefused(mGate.admit(request("a", 7), {}, &mEntry, kNow), RefusalReason::eNoLease);
  checkRefused(mGate.admit(request("a", 6), kLease, &mEntry, kNow), RefusalReason::eWrongSession);
  checkRefused(mGate.admit(request("a"), kLease, &mEntry, kLease.mLeaseUntil),
               RefusalReason::eNoLease);
  BOOST_TEST(mGate.outstanding() == 0);
}

// Guards against an entry with serveWithoutControl that becomes unavailable when control has no
// quorum.
BOOST_FIXTURE_TEST_CASE(entry_may_be_served_without_control, Fixture)
{
  const CatalogueEntry entry = entryIn({ "Tulcea" }, true);
  const SessionLease expired{ .mSession = 7, .mLeaseUntil = kNow };
  BOOST_TEST(!mGate.admit(request("a"), expired, &entry, kNow).has_value());
  checkRefused(mGate.admit(request("b", 6), expired, &entry, kNow), RefusalReason::eWrongSession);
  const CatalogueEntry elsewhere = entryIn({ "Brăila" }, true);
  checkRefused(mGate.admit(request("b"), expired, &elsewhere, kNow), RefusalReason::eWrongTarget);
}

// Guards against running a request in a data centre that a newer catalogue forbids.
BOOST_FIXTURE_TEST_CASE(entry_and_data_centre_must_match, Fixture)
{
  const CatalogueEntry elsewhere = entryIn({ "Brăila" });
  checkRefused(mGate.admit(request("a"), kLease, &elsewhere, kNow), RefusalReason::eWrongTarget);
  checkRefused(mGate.admit(request("a"), kLease, nullptr, kNow), RefusalReason::eUnknownEntry);
  checkRefused(mGate.admit(request("a", 7, "other"), kLease, &mEntry, kNow),
               RefusalReason::eWrongTarget);
}

// Guards against running a request whose answer would arrive after its deadline.
BOOST_FIXTURE_TEST_CASE(request_after_its_deadline_is_refused, Fixture)
{
  checkRefused(mGate.admit(request("a"), kLease, &mEntry, kNow.plusMs(100)),
               RefusalReason::eDeadlinePassed);
  BOOST_TEST(!mGate.admit(request("a"), kLease, &mEntry, kNow.plusMs(99)).has_value());
}

// Guards against sending the executor more requests than it has slots, and against leaked slots.
BOOST_FIXTURE_TEST_CASE(slots_are_counted_and_released, Fixture)
{
  BOOST_TEST(!mGate.admit(request("a"), kLease, &mEntry, kNow).has_value());
  checkRefused(mGate.admit(request("a"), kLease, &mEntry, kNow), RefusalReason::eInvalidRequest);
  BOOST_TEST(!mGate.admit(request("b"), kLease, &mEntry, kNow).has_value());
  checkRefused(mGate.admit(request("c"), kLease, &mEntry, kNow), RefusalReason::eNoSlot);
  mGate.release("a");
  mGate.release("a");
  BOOST_TEST(mGate.outstanding() == 1);
  BOOST_TEST(!mGate.admit(request("c"), kLease, &mEntry, kNow).has_value());
}

// Guards against opening more connections to the executor than it accepts.
BOOST_AUTO_TEST_CASE(requests_are_limited_to_the_connections)
{
  AdmissionGate gate(
    { .mEntryName = "yield-check", .mDataCentre = "Tulcea", .mSlots = 8, .mConnections = 1 });
  const CatalogueEntry entry = entryIn({ "Tulcea" });
  BOOST_TEST(!gate.admit(request("a"), kLease, &entry, kNow).has_value());
  checkRefused(gate.admit(request("b"), kLease, &entry, kNow), RefusalReason::eNoConnection);
}

// Guards against admitting new requests on a target that is shutting down.
BOOST_FIXTURE_TEST_CASE(shutdown_refuses_new_requests_and_keeps_outstanding_ones, Fixture)
{
  BOOST_TEST(!mGate.admit(request("a"), kLease, &mEntry, kNow).has_value());
  mGate.beginShutdown();
  checkRefused(mGate.admit(request("b"), kLease, &mEntry, kNow), RefusalReason::eLeaving);
  BOOST_TEST(mGate.outstanding() == 1);
}
