#include "state/state_fixture_test.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

// Guards against a message of an ended session that is attributed to a later session.
BOOST_AUTO_TEST_CASE(session_numbers_are_never_reused)
{
  StateMachine stateMachine;
  const std::int64_t first = stateMachine.admit(admitWorker("vm-1", "i1"));
  stateMachine.expire(first);
  stateMachine.state() =
    valueOf(ControlState::decodeSnapshot(stateMachine.state().encodeSnapshot(), "test"));
  BOOST_TEST(stateMachine.admit(admitWorker("vm-1", "i1")) > first);
}

// Guards against a resent SessionOpen that ends the session which the original opened.
BOOST_AUTO_TEST_CASE(resent_admission_gets_the_same_session)
{
  StateMachine stateMachine;
  const std::int64_t session = stateMachine.admit(admitWorker("vm-1", "i1"));
  BOOST_TEST(stateMachine.admit(admitWorker("vm-1", "i1")) == session);
  const Outcome restarted = stateMachine.apply(admitWorker("vm-1", "i2"));
  BOOST_TEST(std::get<SessionAdmitted>(restarted).mEndedSession == session);
  BOOST_TEST((stateMachine.state().sessions().find(session) == nullptr));
}

// Guards against two agents that start tasks on the same target.
BOOST_AUTO_TEST_CASE(target_of_another_process_is_refused)
{
  StateMachine stateMachine;
  stateMachine.admit(admitWorker("vm-1", "i1"));
  AdmitSession::Fields other = admitWorker("vm-2", "i1").fields();
  other.target = admitWorker("vm-1", "i1").target();
  BOOST_TEST(isError(stateMachine.apply(buildValue<AdmitSession>(other)), ErrorCode::eConflict));
}

// Guards against a drain that ends when the agent restarts.
BOOST_AUTO_TEST_CASE(drain_persists_after_the_session_ends)
{
  StateMachine stateMachine;
  const auto drain = [](bool aDraining) {
    return buildValue<DrainTarget>({ .targetId = "vm-1", .draining = aDraining });
  };
  BOOST_TEST(isError(stateMachine.apply(drain(true)), ErrorCode::eNotFound));
  stateMachine.admit(admitWorker("vm-1", "i1"));
  stateMachine.apply(drain(true));
  std::int64_t session = stateMachine.admit(admitWorker("vm-1", "i2"));
  BOOST_TEST(stateMachine.state().sessions().find(session)->draining());
  stateMachine.createRun();
  BOOST_TEST(isError(stateMachine.place("recon/night", 1, session), ErrorCode::eRefused));
  stateMachine.apply(drain(false));
  BOOST_TEST(applied(stateMachine.place("recon/night", 1, session)));
}
