#include "platform/JsonReader.h"

#include <utility>

namespace magnoliadrum::platform {

using nlohmann::json;

JsonReader::JsonReader(const json& aJson, std::string aPath, std::vector<std::string>& aFaults)
  : mJson(aJson)
  , mPath(std::move(aPath))
  , mFaults(aFaults)
{
  if (!mJson.is_object()) {
    mFaults.push_back((mPath.empty() ? std::string("body") : mPath) + ": not an object");
  }
}

void
JsonReader::addFault(const char* aName, const std::string& aFault) const
{
  mFaults.push_back((mPath.empty() ? "" : mPath + ".") + aName + ": " + aFault);
}

const json*
JsonReader::member(const char* aName, bool aIsRequired) const
{
  if (!mJson.is_object()) {
    return nullptr;
  }
  const auto position = mJson.find(aName);
  if (position == mJson.end()) {
    if (aIsRequired) {
      addFault(aName, "missing");
    }
    return nullptr;
  }
  return &*position;
}

const json*
JsonReader::array(const char* aName, bool aIsRequired) const
{
  const json* value = member(aName, aIsRequired);
  if (value != nullptr && !value->is_array()) {
    addFault(aName, "not an array");
    return nullptr;
  }
  return value;
}

bool
JsonReader::has(const char* aName) const
{
  return member(aName, false) != nullptr;
}

std::string
JsonReader::string(const char* aName, bool aIsRequired) const
{
  const json* value = member(aName, aIsRequired);
  if (value == nullptr) {
    return "";
  }
  if (!value->is_string()) {
    addFault(aName, "not a string");
    return "";
  }
  return value->get<std::string>();
}

std::int64_t
JsonReader::integer(const char* aName, std::int64_t aDefault, bool aIsRequired) const
{
  const json* value = member(aName, aIsRequired);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_number_integer()) {
    addFault(aName, "not an integer");
    return aDefault;
  }
  return value->get<std::int64_t>();
}

double
JsonReader::number(const char* aName, double aDefault) const
{
  const json* value = member(aName, false);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_number()) {
    addFault(aName, "not a number");
    return aDefault;
  }
  return value->get<double>();
}

bool
JsonReader::boolean(const char* aName) const
{
  const json* value = member(aName, false);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_boolean()) {
    addFault(aName, "not a boolean");
    return false;
  }
  return value->get<bool>();
}

std::vector<std::int64_t>
JsonReader::integers(const char* aName) const
{
  std::vector<std::int64_t> values;
  const json* items = array(aName, false);
  if (items == nullptr) {
    return values;
  }
  for (const json& value : *items) {
    if (!value.is_number_integer()) {
      addFault(aName, "not an array of integers");
      return {};
    }
    values.push_back(value.get<std::int64_t>());
  }
  return values;
}

std::vector<std::string>
JsonReader::strings(const char* aName) const
{
  std::vector<std::string> values;
  const json* items = array(aName, false);
  if (items == nullptr) {
    return values;
  }
  for (const json& value : *items) {
    if (!value.is_string()) {
      addFault(aName, "not an array of strings");
      return {};
    }
    values.push_back(value.get<std::string>());
  }
  return values;
}

std::vector<JsonReader>
JsonReader::items(const char* aName, bool aIsRequired) const
{
  std::vector<JsonReader> readers;
  const json* items = array(aName, aIsRequired);
  if (items == nullptr) {
    return readers;
  }
  const std::string prefix = (mPath.empty() ? "" : mPath + ".") + aName;
  for (std::size_t index = 0; index < items->size(); index++) {
    readers.emplace_back((*items)[index], prefix + "[" + std::to_string(index) + "]", mFaults);
  }
  return readers;
}

std::optional<JsonReader>
JsonReader::object(const char* aName) const
{
  const json* value = member(aName, false);
  if (value == nullptr || value->is_null()) {
    return std::nullopt;
  }
  return JsonReader(*value, (mPath.empty() ? "" : mPath + ".") + aName, mFaults);
}

namespace {

/** Number of commas and opening brackets outside strings, which bounds the number of values before
 * anything is decoded. */
std::size_t
countValues(const std::string& aBody)
{
  std::size_t values = 0;
  bool isInString = false;
  for (std::size_t position = 0; position < aBody.size(); position++) {
    const char character = aBody[position];
    if (isInString) {
      position += character == '\\' ? 1 : 0;
      isInString = character != '"';
      continue;
    }
    isInString = character == '"';
    values += character == ',' || character == '[' || character == '{' ? 1 : 0;
  }
  return values;
}

} // namespace

std::optional<json>
parseBody(const std::string& aBody, std::size_t aMaxValues)
{
  if (countValues(aBody) > aMaxValues) {
    return std::nullopt;
  }
  json value = json::parse(aBody, nullptr, false);
  if (value.is_discarded()) {
    return std::nullopt;
  }
  return value;
}

std::string
joinFaults(const std::vector<std::string>& aFaults)
{
  std::string text;
  for (const std::string& fault : aFaults) {
    text += (text.empty() ? "" : "; ") + fault;
  }
  return text;
}

std::string
dumpBody(const json& aJson)
{
  return aJson.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace magnoliadrum::platform
