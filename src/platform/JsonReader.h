#pragma once

#include "core/core.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum::platform {

/**
 * Reads the members of one JSON object of the platform and collects the faults. Unknown members are
 * ignored; an absent member gives the default, one of another type a fault.
 */
class JsonReader
{
public:
  /** aJson and aFaults outlive the reader. */
  JsonReader(const nlohmann::json& aJson, std::string aPath, std::vector<std::string>& aFaults);

  /** Whether the value is an object at all; a fault was added when it is not. */
  bool isObject() const { return mJson.is_object(); }
  bool has(const char* aName) const;

  std::string string(const char* aName, bool aIsRequired = false) const;
  std::int64_t integer(const char* aName,
                       std::int64_t aDefault = 0,
                       bool aIsRequired = false) const;
  double number(const char* aName, double aDefault) const;
  bool boolean(const char* aName) const;
  std::vector<std::int64_t> integers(const char* aName) const;
  std::vector<std::string> strings(const char* aName) const;

  /** The items of an array with their paths; empty when the member is absent. */
  std::vector<JsonReader> items(const char* aName, bool aIsRequired = false) const;

  /** The member as an object; nothing when it is absent. */
  std::optional<JsonReader> object(const char* aName) const;

  const std::string& path() const { return mPath; }
  void addFault(const char* aName, const std::string& aFault) const;

private:
  const nlohmann::json* member(const char* aName, bool aIsRequired) const;

  /** The member as an array; null when it is absent or of another type. */
  const nlohmann::json* array(const char* aName, bool aIsRequired) const;

  const nlohmann::json& mJson;
  std::string mPath;
  std::vector<std::string>& mFaults;
};

/** Parses a body; nothing when it is not whole JSON. */
std::optional<nlohmann::json>
parseBody(const std::string& aBody);

/** Joins faults into one text. */
std::string
joinFaults(const std::vector<std::string>& aFaults);

/** Serializes JSON; bytes that are not UTF-8 are replaced. */
std::string
dumpBody(const nlohmann::json& aJson);

} // namespace magnoliadrum::platform
