// Numbers of JSON documents from outside, converted with a check of their
// range: a plain conversion of a number that does not fit is undefined.
#ifndef PRIMROSEWORKS_LIBBASE_JSONNUMBER_H
#define PRIMROSEWORKS_LIBBASE_JSONNUMBER_H

#include <algorithm>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace primroseworks::pvt {

/// Longest time that a document may state, in milliseconds.
inline constexpr double MaxDocumentMs = 1e12;

/// The number as the unsigned integer type T, without its fraction. Throws
/// std::range_error if it is no number, negative or too large.
template <class T> T unsignedNumber(const nlohmann::json &Value) {
  static_assert(std::numeric_limits<T>::is_integer &&
                !std::numeric_limits<T>::is_signed);
  const auto Fail = [&Value]() -> T {
    throw std::range_error(
        "a number from 0 to " + std::to_string(std::numeric_limits<T>::max()) +
        " is expected, not a value of type " + Value.type_name());
  };
  if (Value.is_number_unsigned()) {
    const auto Number = Value.get<std::uint64_t>();
    return Number <= std::numeric_limits<T>::max() ? static_cast<T>(Number)
                                                   : Fail();
  }
  if (!Value.is_number_float())
    return Fail(); // Also a negative integer.
  const double Number = Value.get<double>();
  // The maximum of a 64-bit type is rounded up to the power of two after it.
  const bool Fits = Number >= 0 &&
                    Number < static_cast<double>(std::numeric_limits<T>::max());
  return Fits ? static_cast<T>(Number) : Fail();
}

/// The member as an unsigned integer; Default if it is missing or null. Throws
/// std::range_error as unsignedNumber().
template <class T>
T unsignedMember(const nlohmann::json &Object, const char *Key, T Default) {
  const auto It = Object.find(Key);
  if (It == Object.end() || It->is_null())
    return Default;
  return unsignedNumber<T>(*It);
}

/// A time in milliseconds, limited to 0 and MaxDocumentMs. Throws
/// std::range_error if the value is no number.
inline double durationMs(const nlohmann::json &Value) {
  if (!Value.is_number())
    throw std::range_error(std::string("a time is expected, not a value of "
                                       "type ") +
                           Value.type_name());
  return std::clamp(Value.get<double>(), 0.0, MaxDocumentMs);
}

} // namespace primroseworks::pvt

#endif
