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
loadedSnapshot(MemoryFileOperations& aFiles)
{
  const auto store = SnapshotStore::open(aFiles, kFolder);
  BOOST_REQUIRE(isOk(store));
  const auto loaded = valueOf(store)->load();
  BOOST_REQUIRE_MESSAGE(isOk(loaded), textOf(loaded));
  if (!valueOf(loaded)) {
    return 0;
  }
  BOOST_TEST((*valueOf(loaded) == snapshot(valueOf(loaded)->lastIndex)));
  return valueOf(loaded)->lastIndex;
}

} // namespace

BOOST_AUTO_TEST_CASE(snapshot_store_keeps_the_old_or_the_new_snapshot_after_every_failure)
{
  for (const Unsynced unsynced : kUnsynced) {
    bool reachedEnd = false;
    for (int call = 1; !reachedEnd; call++) {
      MemoryFileOperations files;
      files.failAt(call);
      std::int64_t saved = 0;
      const auto store = SnapshotStore::open(files, kFolder);
      while (isOk(store) && saved < 5 && isOk(valueOf(store)->save(snapshot(saved + 1)))) {
        saved++;
      }
      reachedEnd = saved == 5;
      if (isOk(store) && !reachedEnd) {
        const int calls = files.changes();
        BOOST_TEST(!isOk(valueOf(store)->save(snapshot(9))));
        BOOST_TEST(files.changes() == calls, "the store wrote after a failure");
      }
      files.crash(unsynced);
      const std::int64_t loaded = loadedSnapshot(files);
      BOOST_TEST((loaded == saved || (!reachedEnd && loaded == saved + 1)), "call " << call);
    }
  }
}

BOOST_AUTO_TEST_CASE(corrupt_snapshot_is_replaced_by_the_one_before_it_or_refused)
{
  MemoryFileOperations original;
  const auto store = SnapshotStore::open(original, kFolder);
  BOOST_REQUIRE(isOk(valueOf(store)->save(snapshot(1))));
  BOOST_REQUIRE(isOk(valueOf(store)->save(snapshot(2))));
  BOOST_TEST(valueOf(store)->previousIndex() == 1);
  const std::string first = original.firstPath();
  const std::string last = original.lastPath();
  for (std::size_t position = 0; position < original.content(last).size(); position++) {
    MemoryFileOperations files;
    for (const std::string& path : { first, last }) {
      files.open(path);
      files.content(path) = original.content(path);
    }
    files.content(last)[position] ^= 1;
    BOOST_TEST(loadedSnapshot(files) == 1);
    files.content(first)[position] ^= 1;
    const auto reopened = SnapshotStore::open(files, kFolder);
    const auto loaded = valueOf(reopened)->load();
    BOOST_REQUIRE_MESSAGE(!isOk(loaded), "byte " << position);
    BOOST_TEST((errorOf(loaded).code() == ErrorCode::eCorrupt));
  }
}

BOOST_AUTO_TEST_CASE(identity_is_whole_or_absent_after_every_failure_and_never_changes)
{
  for (const Unsynced unsynced : kUnsynced) {
    bool created = false;
    for (int call = 1; !created; call++) {
      MemoryFileOperations files;
      files.failAt(call);
      const auto identity = IdentityFile::create(files, kFolder);
      created = isOk(identity);
      files.crash(unsynced);
      const auto loaded = IdentityFile::load(files, kFolder);
      BOOST_REQUIRE(isOk(loaded));
      if (created) {
        BOOST_TEST((valueOf(loaded) == valueOf(identity)));
        BOOST_TEST(!isOk(IdentityFile::create(files, kFolder)));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(changed_identity_is_refused)
{
  MemoryFileOperations files;
  BOOST_REQUIRE(isOk(IdentityFile::create(files, kFolder)));
  std::string& content = files.content(files.lastPath());
  for (std::size_t position = 0; position < content.size(); position++) {
    content[position] ^= 1;
    const auto loaded = IdentityFile::load(files, kFolder);
    BOOST_REQUIRE_MESSAGE(!isOk(loaded), "byte " << position);
    BOOST_TEST((errorOf(loaded).code() == ErrorCode::eCorrupt));
    content[position] ^= 1;
  }
}
