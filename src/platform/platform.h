#pragma once

/**
 * Module platform: names, formats and calls of the users' platform, translated into the project's
 * own types and messages. Nothing here decides. Depends on core, generated, relay, transport and
 * observability.
 */

#include "platform/CallerServer.h"
#include "platform/CatalogueCodec.h"
#include "platform/JobCodec.h"
#include "platform/OperatorServer.h"
#include "platform/PlatformWorkerClient.h"
#include "platform/RegistrationServer.h"
#include "platform/WorkerCodec.h"
