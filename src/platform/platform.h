#pragma once

/**
 * Module platform: translates the names, formats and calls of the users' platform into the
 * project's own types and messages. It contains no decision logic. Depends on core, generated,
 * relay, transport and observability.
 */

#include "platform/CallerServer.h"
#include "platform/CatalogueCodec.h"
#include "platform/IncarnationProof.h"
#include "platform/JobCodec.h"
#include "platform/OperatorServer.h"
#include "platform/PlatformWorkerClient.h"
#include "platform/RegistrationServer.h"
#include "platform/WorkerCodec.h"
