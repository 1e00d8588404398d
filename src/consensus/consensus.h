#pragma once

/**
 * Module consensus: the replicated log as a pure state machine.
 *
 * ConsensusNode elects a leader (pre-vote, check-quorum), replicates entries, transfers snapshots
 * and changes the members of the group. It does no I/O and reads no clock. Depends on core and
 * generated.
 */

#include "consensus/ConsensusNode.h"
#include "consensus/ConsensusTypes.h"
#include "consensus/GroupMembership.h"
