#include "storage/MemoryFileOperations_test.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;

namespace {

StoredSnapshot
snapshot(std::int64_t aIndex)
{
  const Replica replica = valueOf(Replica::create({ .replicaId = "r", .address = "10.0.0.1:1" }));
  return { .lastIndex = aIndex,
           .lastTerm = 2,
           .configuration = valueOf(GroupConfiguration::create({ .replicas = { replica } })),
           .data = std::string("\x00\xfe", 2) + std::to_string(aIndex) };
}

std::int64_t
loadSnapshotIndex(MemoryFileOperations& aFiles)
{
  const auto store = SnapshotStore::open(aFiles, kTestFolder);
  BOOST_REQUIRE(isOk(store));
  const auto loaded = valueOf(store)->load();
  BOOST_REQUIRE_MESSAGE(isOk(loaded), errorText(loaded));
  if (!valueOf(loaded)) {
    return 0;
  }
  BOOST_TEST((*valueOf(loaded) == snapshot(valueOf(loaded)->lastIndex)));
  return valueOf(loaded)->lastIndex;
}

} // namespace

BOOST_AUTO_TEST_CASE(snapshot_store_keeps_the_old_or_the_new_snapshot_after_every_failure)
{
  for (const UnsyncedBytes unsynced : kAllUnsyncedBytes) {
    bool reachedEnd = false;
    for (int change = 1; !reachedEnd; change++) {
      MemoryFileOperations files;
      files.failAtChange(change);
      std::int64_t saved = 0;
      const auto store = SnapshotStore::open(files, kTestFolder);
      while (isOk(store) && saved < 5 && isOk(valueOf(store)->save(snapshot(saved + 1)))) {
        saved++;
      }
      reachedEnd = saved == 5;
      if (isOk(store) && !reachedEnd) {
        const int changesAtFailure = files.changeCount();
        BOOST_TEST(!isOk(valueOf(store)->save(snapshot(9))));
        BOOST_TEST(files.changeCount() == changesAtFailure, "the store wrote after a failure");
      }
      files.crash(unsynced);
      const std::int64_t loaded = loadSnapshotIndex(files);
      BOOST_TEST((loaded == saved || (!reachedEnd && loaded == saved + 1)), "change " << change);
    }
  }
}

BOOST_AUTO_TEST_CASE(corrupt_snapshot_falls_back_to_the_previous_one_or_is_rejected)
{
  MemoryFileOperations original;
  const auto store = SnapshotStore::open(original, kTestFolder);
  BOOST_REQUIRE(isOk(valueOf(store)->save(snapshot(1))));
  BOOST_REQUIRE(isOk(valueOf(store)->save(snapshot(2))));
  BOOST_TEST(valueOf(store)->previousIndex() == 1);
  const std::string firstPath = original.firstPath();
  const std::string lastPath = original.lastPath();
  for (std::size_t position = 0; position < original.content(lastPath).size(); position++) {
    MemoryFileOperations files;
    for (const std::string& path : { firstPath, lastPath }) {
      files.open(path);
      files.content(path) = original.content(path);
    }
    files.content(lastPath)[position] ^= 1;
    BOOST_TEST(loadSnapshotIndex(files) == 1);
    files.content(firstPath)[position] ^= 1;
    const auto reopened = SnapshotStore::open(files, kTestFolder);
    const auto loaded = valueOf(reopened)->load();
    BOOST_REQUIRE_MESSAGE(!isOk(loaded), "byte " << position);
    BOOST_TEST((errorOf(loaded).code() == ErrorCode::eCorrupt));
  }
}

BOOST_AUTO_TEST_CASE(identity_is_complete_or_absent_after_every_failure_and_never_changes)
{
  for (const UnsyncedBytes unsynced : kAllUnsyncedBytes) {
    bool created = false;
    for (int change = 1; !created; change++) {
      MemoryFileOperations files;
      files.failAtChange(change);
      const auto identity = IdentityFile::create(files, kTestFolder);
      created = isOk(identity);
      files.crash(unsynced);
      const auto loaded = IdentityFile::load(files, kTestFolder);
      BOOST_REQUIRE(isOk(loaded));
      if (created) {
        BOOST_TEST((valueOf(loaded) == valueOf(identity)));
        BOOST_TEST(!isOk(IdentityFile::create(files, kTestFolder)));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(changed_identity_file_is_rejected)
{
  MemoryFileOperations files;
  BOOST_REQUIRE(isOk(IdentityFile::create(files, kTestFolder)));
  std::string& content = files.content(files.lastPath());
  for (std::size_t position = 0; position < content.size(); position++) {
    content[position] ^= 1;
    const auto loaded = IdentityFile::load(files, kTestFolder);
    BOOST_REQUIRE_MESSAGE(!isOk(loaded), "byte " << position);
    BOOST_TEST((errorOf(loaded).code() == ErrorCode::eCorrupt));
    content[position] ^= 1;
  }
}
