#pragma once

#include "storage/storage.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>

namespace magnoliadrum {

inline constexpr const char* kTestFolder = "data";

template<typename T>
std::string
errorText(const Result<T>& aResult)
{
  return isOk(aResult) ? "no error" : errorOf(aResult).text();
}

/**
 * How much a crash leaves of the bytes that were written but not synced. With eKept, changes to
 * file names that were not synced survive too. With eKeptButFirstRemoval, the file whose name comes
 * first among those whose removal was not synced is there again.
 */
enum class UnsyncedBytes
{
  eLost,
  eHalf,
  eKept,
  eKeptButFirstRemoval
};

/** In-memory file system that can fail at the n-th change and lose unsynced data in a crash. */
class MemoryFileOperations : public FileOperations
{
public:
  struct File
  {
    std::string content;
    std::size_t syncedBytes = 0;
  };

  /**
   * Makes the change with this number fail, counted from 1 from now on; 0 for none. A failing
   * append writes half of its bytes. All operations except list(), read() and close() are changes.
   */
  void failAtChange(int aChange)
  {
    mFailingChange = aChange;
    mChangeCount = 0;
  }

  /** Number of changes since the last failAtChange(). */
  int changeCount() const { return mChangeCount; }

  void crash(UnsyncedBytes aUnsynced)
  {
    if (aUnsynced == UnsyncedBytes::eKeptButFirstRemoval) {
      restoreFirstRemoved();
    }
    const bool areNamesKept =
      aUnsynced == UnsyncedBytes::eKept || aUnsynced == UnsyncedBytes::eKeptButFirstRemoval;
    mFiles = areNamesKept ? mFiles : mDurableFiles;
    for (auto& [name, file] : mFiles) {
      const std::size_t unsyncedBytes = file->content.size() - file->syncedBytes;
      const std::size_t lostBytes = aUnsynced == UnsyncedBytes::eLost   ? unsyncedBytes
                                    : aUnsynced == UnsyncedBytes::eHalf ? unsyncedBytes / 2
                                                                        : 0;
      file->content.resize(file->content.size() - lostBytes);
      file->syncedBytes = file->content.size();
    }
    mDurableFiles = mFiles;
    mFailingChange = 0;
  }

  std::string& content(const std::string& aPath) { return mFiles.at(aPath)->content; }
  std::string lastPath() const { return mFiles.rbegin()->first; }
  std::string firstPath() const { return mFiles.begin()->first; }

  Result<Done> createFolder(const std::string& /*aPath*/) override { return performChange(); }

  Result<std::vector<std::string>> list(const std::string& /*aFolder*/) override
  {
    std::vector<std::string> names;
    for (const auto& [path, file] : mFiles) {
      names.push_back(path.substr(std::string(kTestFolder).size() + 1));
    }
    return names;
  }

  Result<std::string> read(const std::string& aPath) override
  {
    if (mFiles.count(aPath) == 0) {
      return Error::create(ErrorCode::eNotFound, "read", aPath, "no such file");
    }
    return content(aPath);
  }

  Result<FileHandle> open(const std::string& aPath) override
  {
    const Result<Done> changed = performChange();
    if (!isOk(changed)) {
      return errorOf(changed);
    }
    mFiles.try_emplace(aPath, std::make_shared<File>());
    mOpenFiles.push_back(mFiles.at(aPath));
    return FileHandle{ static_cast<int>(mOpenFiles.size()) - 1 };
  }

  Result<Done> append(FileHandle aFile, std::string_view aBytes) override
  {
    const Result<Done> changed = performChange();
    file(aFile).content += aBytes.substr(0, isOk(changed) ? aBytes.size() : aBytes.size() / 2);
    return changed;
  }

  Result<Done> sync(FileHandle aFile) override
  {
    return performChange([&] { file(aFile).syncedBytes = file(aFile).content.size(); });
  }

  Result<Done> truncate(FileHandle aFile, std::int64_t aSize) override
  {
    return performChange([&] {
      file(aFile).content.resize(static_cast<std::size_t>(aSize));
      file(aFile).syncedBytes = std::min(file(aFile).syncedBytes, file(aFile).content.size());
    });
  }

  void close(FileHandle /*aFile*/) override {}

  Result<Done> rename(const std::string& aFrom, const std::string& aTo) override
  {
    return performChange([&] {
      mFiles[aTo] = mFiles.at(aFrom);
      mFiles.erase(aFrom);
    });
  }

  Result<Done> remove(const std::string& aPath) override
  {
    return performChange([&] { mFiles.erase(aPath); });
  }

  Result<Done> syncFolder(const std::string& /*aFolder*/) override
  {
    return performChange([&] { mDurableFiles = mFiles; });
  }

private:
  void restoreFirstRemoved()
  {
    for (const auto& [path, file] : mDurableFiles) {
      if (mFiles.try_emplace(path, file).second) {
        return;
      }
    }
  }

  File& file(FileHandle aFile) { return *mOpenFiles.at(static_cast<std::size_t>(aFile)); }

  Result<Done> performChange(const std::function<void()>& aEffect = [] {})
  {
    mChangeCount++;
    if (mChangeCount == mFailingChange) {
      return Error::create(ErrorCode::eIo, "test", kTestFolder, "injected");
    }
    aEffect();
    return Done{};
  }

  std::map<std::string, std::shared_ptr<File>> mFiles;
  std::map<std::string, std::shared_ptr<File>> mDurableFiles;
  std::vector<std::shared_ptr<File>> mOpenFiles;
  int mFailingChange = 0;
  int mChangeCount = 0;
};

inline constexpr std::array kAllUnsyncedBytes = { UnsyncedBytes::eLost,
                                                  UnsyncedBytes::eHalf,
                                                  UnsyncedBytes::eKept,
                                                  UnsyncedBytes::eKeptButFirstRemoval };

} // namespace magnoliadrum
