#pragma once

#include "core/Error.h"

#include <cassert>
#include <utility>
#include <variant>

namespace magnoliadrum {

/** Either a value or the Error that prevented it. */
template<typename T>
using Result = std::variant<T, Error>;

/** The value of a Result whose operation returns nothing on success. */
struct Done
{
  friend auto operator<=>(const Done&, const Done&) = default;
};

template<typename T>
bool
isOk(const Result<T>& aResult)
{
  return std::holds_alternative<T>(aResult);
}

/** Returns the value. Precondition: isOk(aResult). */
template<typename T>
const T&
valueOf(const Result<T>& aResult)
{
  assert(isOk(aResult));
  return *std::get_if<T>(&aResult);
}

/** Moves the value out. Precondition: isOk(aResult). */
template<typename T>
T
takeValue(Result<T>&& aResult)
{
  assert(isOk(aResult));
  return std::move(*std::get_if<T>(&aResult));
}

/** Returns the error. Precondition: !isOk(aResult). */
template<typename T>
const Error&
errorOf(const Result<T>& aResult)
{
  assert(!isOk(aResult));
  return *std::get_if<Error>(&aResult);
}

} // namespace magnoliadrum
