// Parsing of "Bearer KEY".
#include "libaccounts/bearertoken.h"

#include <algorithm>

namespace primroseworks {

namespace {

constexpr std::string_view Scheme = "bearer";
constexpr std::string_view Blanks = " \t";

std::string_view trimmed(std::string_view Text) {
  const std::size_t Begin = Text.find_first_not_of(Blanks);
  if (Begin == std::string_view::npos)
    return {};
  return Text.substr(Begin, Text.find_last_not_of(Blanks) + 1 - Begin);
}

bool isScheme(std::string_view Text) {
  return std::equal(Text.begin(), Text.end(), Scheme.begin(), Scheme.end(),
                    [](char Found, char Expected) {
                      const bool Upper = Found >= 'A' && Found <= 'Z';
                      return (Upper ? Found - 'A' + 'a' : Found) == Expected;
                    });
}

} // namespace

std::optional<std::string_view>
readBearerToken(const std::vector<std::string_view> &HeaderValues) {
  if (HeaderValues.size() != 1)
    return std::nullopt;
  const std::string_view Value = trimmed(HeaderValues.front());
  const std::size_t End = Value.find_first_of(Blanks);
  if (End == std::string_view::npos || !isScheme(Value.substr(0, End)))
    return std::nullopt;
  return trimmed(Value.substr(End));
}

} // namespace primroseworks
