// Reads the API key from the values of a request's Authorization headers.
#ifndef PRIMROSEWORKS_LIBACCOUNTS_BEARERTOKEN_H
#define PRIMROSEWORKS_LIBACCOUNTS_BEARERTOKEN_H

#include <optional>
#include <string_view>
#include <vector>

namespace primroseworks {

/// Returns the key of "Bearer KEY", a view of the header's value. The scheme is
/// compared without case, and spaces and tabs around the key are no part of it.
///
/// Nothing if there is no header, another scheme, an empty key, or more than
/// one header: the endpoints behind other gateways could choose another one.
std::optional<std::string_view>
readBearerToken(const std::vector<std::string_view> &HeaderValues);

} // namespace primroseworks

#endif
