#include "session/Incarnation.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

namespace magnoliadrum {

std::string
newIncarnation()
{
  static boost::uuids::random_generator sGenerator;
  return boost::uuids::to_string(sGenerator());
}

} // namespace magnoliadrum
