#pragma once

/**
 * Module transport: the event loop, message connections between our processes (WebSocket and CBOR),
 * and HTTP towards callers, targets and operators.
 */

#include "transport/EventLoop.h"
#include "transport/HttpClient.h"
#include "transport/HttpServer.h"
#include "transport/MessageConnection.h"
#include "transport/MessageServer.h"
#include "transport/SocketAddress.h"
#include "transport/StandstillDetector.h"
