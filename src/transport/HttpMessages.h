#pragma once

#include "generated/TasksTypes.h"

#include <event2/http.h>
#include <string>
#include <vector>

struct evbuffer;
struct evkeyvalq;

namespace magnoliadrum {

/** Conversions between evhttp's structures and the project's types, for server and client. */

std::string
methodName(evhttp_cmd_type aCommand);

/** Returns the command of an HTTP method, or an Error for one that is not supported. */
Result<evhttp_cmd_type>
commandOf(const std::string& aMethod);

/** Copies the headers that fit the bounds of HttpHeader. */
std::vector<HttpHeader>
readHeaders(const evkeyvalq* aHeaders);

/** Adds headers, leaving out those that evhttp sets itself (length, connection, encoding). */
void
addHeaders(evkeyvalq* aOutput, const std::vector<HttpHeader>& aHeaders);

std::string
readBody(evbuffer* aBuffer);

} // namespace magnoliadrum
