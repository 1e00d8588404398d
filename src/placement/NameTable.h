#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace magnoliadrum {

/** Maps names to dense indexes in order of first use, so that records hold 32-bit indexes. */
class NameTable
{
public:
  /** Returns the index of a name; a new name gets the next free index. */
  std::uint32_t indexOf(const std::string& aName)
  {
    const auto [position, isNew] =
      mIndexes.try_emplace(aName, static_cast<std::uint32_t>(mNames.size()));
    if (isNew) {
      mNames.push_back(aName);
    }
    return position->second;
  }

  const std::string& nameOf(std::uint32_t aIndex) const { return mNames[aIndex]; }
  std::size_t size() const { return mNames.size(); }

private:
  std::unordered_map<std::string, std::uint32_t> mIndexes;
  std::vector<std::string> mNames;
};

} // namespace magnoliadrum
