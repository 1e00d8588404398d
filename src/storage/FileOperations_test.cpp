#include "storage/FileOperations.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;

BOOST_AUTO_TEST_SUITE(file_operations)

// A replica waits for space only if it can tell a full disk from a broken one.
BOOST_AUTO_TEST_CASE(a_full_disk_is_told_from_other_errors)
{
  PosixFileOperations files;
  const Result<FileHandle> full = files.open("/dev/full");
  BOOST_REQUIRE(isOk(full));
  const Result<Done> written = files.append(valueOf(full), "bytes");
  BOOST_REQUIRE(!isOk(written));
  BOOST_TEST((errorOf(written).code() == ErrorCode::eNoSpace));
  const Result<FileHandle> missing = files.open("/dev/null/file");
  BOOST_REQUIRE(!isOk(missing));
  BOOST_TEST((errorOf(missing).code() == ErrorCode::eIo));
}

BOOST_AUTO_TEST_SUITE_END()
