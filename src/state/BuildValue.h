#pragma once

#include "core/core.h"

#include <cassert>
#include <utility>

namespace magnoliadrum {

/**
 * Creates a value from fields that are known to be within their bounds, because they come from
 * values that were checked before. Precondition: the fields are within their bounds.
 */
template<typename Type>
Type
buildValue(typename Type::Fields aFields)
{
  Result<Type> result = Type::create(std::move(aFields));
  assert(isOk(result));
  return takeValue(std::move(result));
}

} // namespace magnoliadrum
