#pragma once

#include "core/core.h"

#include <string>

namespace magnoliadrum {

/**
 * Arms fault points from a text such as "log.sync:3:kill,session.grant:1:freeze": at the third
 * passage of log.sync the process kills itself, at the first of session.grant it stops with SIGSTOP
 * until a test resumes it. The action exit ends the process with status 1 as a failed write does.
 * An empty text arms nothing.
 */
Result<Done>
armFaultPoints(const std::string& aText);

/** Passes a fault point. Does nothing unless it is armed. */
void
faultPoint(const char* aName);

} // namespace magnoliadrum
