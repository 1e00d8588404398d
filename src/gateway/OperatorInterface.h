#pragma once

#include "generated/generated.h"
#include "transport/HttpServer.h"

#include <string>
#include <variant>

namespace magnoliadrum {

/** Prefix of the paths of operators' requests. */
inline constexpr const char* kOperatorPathPrefix = "/v1/";

/**
 * Translates an operator's HTTP request into a message to control with the requestId aRequestId.
 * Returns an HTTP answer instead if the path, the method or the body is invalid. Errors in the body
 * are listed with the path of the field.
 */
std::variant<Message, HttpAnswer>
readOperatorRequest(const HttpRequest& aRequest, const std::string& aRequestId);

/** Translates control's reply to aControlRequest, or the error of the call, into an HTTP answer.
 */
HttpAnswer
operatorAnswer(const Message& aControlRequest, const Result<Message>& aAnswer);

} // namespace magnoliadrum
