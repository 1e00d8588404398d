#include "transport/HttpMessages.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <utility>

namespace magnoliadrum {

namespace {

constexpr std::array<std::pair<evhttp_cmd_type, const char*>, 7> kMethods = { {
  { EVHTTP_REQ_GET, "GET" },
  { EVHTTP_REQ_POST, "POST" },
  { EVHTTP_REQ_HEAD, "HEAD" },
  { EVHTTP_REQ_PUT, "PUT" },
  { EVHTTP_REQ_DELETE, "DELETE" },
  { EVHTTP_REQ_OPTIONS, "OPTIONS" },
  { EVHTTP_REQ_PATCH, "PATCH" },
} };

bool
isSetByLibrary(const std::string& aName)
{
  static constexpr std::array<const char*, 5> kNames = {
    "Content-Length", "Connection", "Transfer-Encoding", "Keep-Alive", "Host"
  };
  const auto matches = [&](const char* aKnown) { return boost::algorithm::iequals(aName, aKnown); };
  return std::any_of(kNames.begin(), kNames.end(), matches);
}

} // namespace

std::string
methodName(evhttp_cmd_type aCommand)
{
  for (const auto& [command, name] : kMethods) {
    if (command == aCommand) {
      return name;
    }
  }
  return "UNKNOWN";
}

Result<evhttp_cmd_type>
commandOf(const std::string& aMethod)
{
  for (const auto& [command, name] : kMethods) {
    if (aMethod == name) {
      return command;
    }
  }
  return Error::create(ErrorCode::eInvalid, "http method", "local", "unsupported: " + aMethod);
}

std::vector<HttpHeader>
readHeaders(const evkeyvalq* aHeaders)
{
  std::vector<HttpHeader> headers;
  for (const evkeyval* item = aHeaders->tqh_first; item != nullptr; item = item->next.tqe_next) {
    Result<HttpHeader> header = HttpHeader::create({ .name = item->key, .value = item->value });
    if (isOk(header)) {
      headers.push_back(takeValue(std::move(header)));
    }
  }
  return headers;
}

void
addHeaders(evkeyvalq* aOutput, const std::vector<HttpHeader>& aHeaders)
{
  for (const HttpHeader& header : aHeaders) {
    if (!isSetByLibrary(header.name())) {
      evhttp_add_header(aOutput, header.name().c_str(), header.value().c_str());
    }
  }
}

std::string
readBody(evbuffer* aBuffer)
{
  std::string body(evbuffer_get_length(aBuffer), '\0');
  evbuffer_copyout(aBuffer, body.data(), body.size());
  return body;
}

} // namespace magnoliadrum
