#pragma once

#include "storage/storage.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>

namespace magnoliadrum {

inline constexpr const char* kFolder = "data";

template<typename T>
std::string
textOf(const Result<T>& aResult)
{
  return isOk(aResult) ? "no error" : errorOf(aResult).text();
}

/** What a crash leaves of bytes that were written but not synced. */
enum class Unsynced
{
  eLost,
  eHalf,
  eKept
};

/** A file system in memory that can fail at the n-th change and lose what is not synced. */
class MemoryFileOperations : public FileOperations
{
public:
  struct File
  {
    std::string content;
    std::size_t synced = 0;
  };

  /** The aCall-th change fails, counted from 1; 0 for none. A failing write leaves half of its
   * bytes. */
  void failAt(int aCall)
  {
    mFailAt = aCall;
    mCalls = 0;
  }

  int changes() const { return mCalls; }

  void crash(Unsynced aUnsynced)
  {
    mNames = aUnsynced == Unsynced::eKept ? mNames : mDurableNames;
    for (auto& [name, file] : mNames) {
      const std::size_t unsynced = file->content.size() - file->synced;
      const std::size_t lost = aUnsynced == Unsynced::eLost   ? unsynced
                               : aUnsynced == Unsynced::eHalf ? unsynced / 2
                                                              : 0;
      file->content.resize(file->content.size() - lost);
      file->synced = file->content.size();
    }
    mDurableNames = mNames;
    mFailAt = 0;
  }

  std::string& content(const std::string& aPath) { return mNames.at(aPath)->content; }
  std::string lastPath() const { return mNames.rbegin()->first; }
  std::string firstPath() const { return mNames.begin()->first; }

  Result<Done> createFolder(const std::string& /*aPath*/) override { return change(); }

  Result<std::vector<std::string>> list(const std::string& /*aFolder*/) override
  {
    std::vector<std::string> names;
    for (const auto& [path, file] : mNames) {
      names.push_back(path.substr(std::string(kFolder).size() + 1));
    }
    return names;
  }

  Result<std::string> read(const std::string& aPath) override
  {
    if (mNames.count(aPath) == 0) {
      return Error::create(ErrorCode::eNotFound, "read", aPath, "no such file");
    }
    return content(aPath);
  }

  Result<FileHandle> open(const std::string& aPath) override
  {
    const Result<Done> changed = change();
    if (!isOk(changed)) {
      return errorOf(changed);
    }
    mNames.try_emplace(aPath, std::make_shared<File>());
    mOpen.push_back(mNames.at(aPath));
    return FileHandle{ static_cast<int>(mOpen.size()) - 1 };
  }

  Result<Done> append(FileHandle aFile, std::string_view aBytes) override
  {
    const Result<Done> changed = change();
    file(aFile).content += aBytes.substr(0, isOk(changed) ? aBytes.size() : aBytes.size() / 2);
    return changed;
  }

  Result<Done> sync(FileHandle aFile) override
  {
    return change([&] { file(aFile).synced = file(aFile).content.size(); });
  }

  Result<Done> truncate(FileHandle aFile, std::int64_t aBytes) override
  {
    return change([&] {
      file(aFile).content.resize(static_cast<std::size_t>(aBytes));
      file(aFile).synced = std::min(file(aFile).synced, file(aFile).content.size());
    });
  }

  void close(FileHandle /*aFile*/) override {}

  Result<Done> rename(const std::string& aFrom, const std::string& aTo) override
  {
    return change([&] {
      mNames[aTo] = mNames.at(aFrom);
      mNames.erase(aFrom);
    });
  }

  Result<Done> remove(const std::string& aPath) override
  {
    return change([&] { mNames.erase(aPath); });
  }

  Result<Done> syncFolder(const std::string& /*aFolder*/) override
  {
    return change([&] { mDurableNames = mNames; });
  }

private:
  File& file(FileHandle aFile) { return *mOpen.at(static_cast<std::size_t>(aFile)); }

  Result<Done> change(const std::function<void()>& aEffect = [] {})
  {
    mCalls++;
    if (mCalls == mFailAt) {
      return Error::create(ErrorCode::eIo, "test", kFolder, "injected");
    }
    aEffect();
    return Done{};
  }

  std::map<std::string, std::shared_ptr<File>> mNames;
  std::map<std::string, std::shared_ptr<File>> mDurableNames;
  std::vector<std::shared_ptr<File>> mOpen;
  int mFailAt = 0;
  int mCalls = 0;
};

inline constexpr std::array kUnsynced = { Unsynced::eLost, Unsynced::eHalf, Unsynced::eKept };

} // namespace magnoliadrum
