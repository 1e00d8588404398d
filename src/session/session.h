#pragma once

/** Module session: the link of a gateway or an agent to the control leader, with its session, lease
 * and catalogue. */

#include "session/CatalogueCopy.h"
#include "session/ControlLink.h"
#include "session/Incarnation.h"
#include "session/RequestAnswers.h"
