#pragma once

#include "core/core.h"

#include <cassert>
#include <utility>

namespace magnoliadrum {

/**
 * Creates a value from fields that come from already validated values.
 * Precondition: the fields are within their bounds.
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
