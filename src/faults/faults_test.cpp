#include "faults/faults.h"

#include <boost/test/unit_test.hpp>
#include <sys/wait.h>
#include <unistd.h>

using namespace magnoliadrum;

BOOST_AUTO_TEST_CASE(malformed_fault_points_are_refused)
{
  for (const char* text : { "x", "x:1", "x:0:kill", "x:a:kill", "x:1:explode", "x:1:kill,y" }) {
    BOOST_TEST(!isOk(armFaultPoints(text)), text);
  }
  BOOST_TEST(isOk(armFaultPoints("")));
}

// Guards against a fault that hits another passage than the one that a cell of the fault matrix
// names.
BOOST_AUTO_TEST_CASE(fault_happens_at_the_named_passage_only)
{
  constexpr int kPassages = 3;
  const pid_t child = fork();
  if (child == 0) {
    armFaultPoints("step:3:exit");
    for (int passage = 1; passage <= kPassages; passage++) {
      faultPoint("other");
      if (passage == kPassages) {
        // Only the exit of the fault point, with status 1, may end this process now.
        faultPoint("step");
        _exit(2);
      }
      faultPoint("step");
    }
  }
  int status = 0;
  BOOST_REQUIRE(waitpid(child, &status, 0) == child);
  BOOST_TEST(WIFEXITED(status));
  BOOST_TEST(WEXITSTATUS(status) == 1);
}
