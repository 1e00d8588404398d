#pragma once

/** Module session: the connection of a process, such as a gateway or an agent, to the control
 * leader, with its session, lease and catalogue copy. */

#include "session/CatalogueCopy.h"
#include "session/ControlAddresses.h"
#include "session/ControlLink.h"
#include "session/Incarnation.h"
#include "session/RequestAnswers.h"
