#pragma once

#include "core/core.h"

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum::platform {

/**
 * Reads the members of a JSON object in the platform's format and collects the faults. Unknown
 * members are ignored. An absent member yields the default; a member of the wrong type yields the
 * default and adds a fault.
 */
class JsonReader
{
public:
  /** Adds a fault when aJson is not an object. aJson and aFaults must outlive the reader. */
  JsonReader(const nlohmann::json& aJson, std::string aPath, std::vector<std::string>& aFaults);

  /** Whether the value is an object; the constructor has added a fault when it is not. */
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

  /** Readers for the items of an array member; empty when it is absent or not an array. */
  std::vector<JsonReader> items(const char* aName, bool aIsRequired = false) const;

  /** A reader for an object member; std::nullopt when it is absent or null. */
  std::optional<JsonReader> object(const char* aName) const;

  const std::string& path() const { return mPath; }
  void addFault(const char* aName, const std::string& aFault) const;

private:
  const nlohmann::json* member(const char* aName, bool aIsRequired) const;

  /** The member as an array; null when it is absent or not an array. */
  const nlohmann::json* array(const char* aName, bool aIsRequired) const;

  const nlohmann::json& mJson;
  std::string mPath;
  std::vector<std::string>& mFaults;
};

/** Most values in a caller's body: a decoded value takes up to a hundred times its text. */
inline constexpr std::size_t kMaxCallerValues = 50000;
/** The same for a catalogue and for what a worker sends. */
inline constexpr std::size_t kMaxDocumentValues = 250000;

/** Parses a body; returns std::nullopt when it is not valid JSON or may hold more than aMaxValues.
 */
std::optional<nlohmann::json>
parseBody(const std::string& aBody, std::size_t aMaxValues);

/** Joins faults into one string, separated by semicolons. */
std::string
joinFaults(const std::vector<std::string>& aFaults);

/** Serializes JSON; bytes that are not UTF-8 are replaced. */
std::string
dumpBody(const nlohmann::json& aJson);

} // namespace magnoliadrum::platform
