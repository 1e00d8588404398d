#pragma once

#include "generated/generated.h"
#include "transport/HttpServer.h"

#include <string>
#include <variant>

namespace magnoliadrum {

/** Prefix of the paths of operators' requests. */
inline constexpr const char* kOperatorPathPrefix = "/v1/";

/**
 * Translates an operator's HTTP request into the message to control, whose requestId is aRequestId.
 * Returns the answer instead when the path, the method or the body is wrong; faults of a body are
 * listed by path.
 */
std::variant<Message, HttpAnswer>
readOperatorRequest(const HttpRequest& aRequest, const std::string& aRequestId);

/** Translates control's answer to aControlRequest, or the error of the call, into an HTTP answer.
 */
HttpAnswer
operatorAnswer(const Message& aControlRequest, const Result<Message>& aAnswer);

} // namespace magnoliadrum
