// Typed errors and the result type that every fallible function returns.
#ifndef PRIMROSEWORKS_ERROR_H
#define PRIMROSEWORKS_ERROR_H

#include "primroseworks/names.h"

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <utility>

namespace primroseworks {

/// What kind of failure happened; callers branch on it.
enum class ErrorKind {
  InvalidArgument, ///< The input is wrong; repeating it does not help.
  NotFound,        ///< The named thing does not exist.
  Conflict,        ///< Somebody else changed the thing first.
  Unavailable,     ///< The other side did not take the call; nothing happened.
  Full,            ///< A stated bound is reached; nothing happened.
  RateLimited,     ///< The other side refused because of its rate; nothing
                   ///< happened.
  Timeout, ///< No answer came; the call may or may not have taken effect.
  PermissionDenied, ///< The caller is not allowed to do this.
  Protocol, ///< The other side answered something that cannot be understood.
  Closed,   ///< The connection or object was closed by its owner.
  Internal  ///< An invariant of this program does not hold.
};

inline constexpr NameTable<ErrorKind, 11> ErrorKindNames = {{
    {ErrorKind::InvalidArgument, "invalid_argument"},
    {ErrorKind::NotFound, "not_found"},
    {ErrorKind::Conflict, "conflict"},
    {ErrorKind::Unavailable, "unavailable"},
    {ErrorKind::Full, "full"},
    {ErrorKind::RateLimited, "rate_limited"},
    {ErrorKind::Timeout, "timeout"},
    {ErrorKind::PermissionDenied, "permission_denied"},
    {ErrorKind::Protocol, "protocol"},
    {ErrorKind::Closed, "closed"},
    {ErrorKind::Internal, "internal"},
}};

/// An error: its kind, and a message that says what is wrong and ends with the
/// remedy.
struct Error {
  ErrorKind m_kind = ErrorKind::Internal;
  std::string m_message;
};

/// A value or an Error. Test with `if (R)`; use `R.value()` and `R.error()`.
template <class T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::all_narrow>;

/// Makes an error that converts to any Result.
inline Error makeError(ErrorKind Kind, std::string Message) {
  return Error{Kind, std::move(Message)};
}

} // namespace primroseworks

#endif
