// Bodies of an engine's answers to reads and orders.
#include "libendpoint/engineanswers.h"

#include "libbase/limitedjson.h"
#include "libendpoint/tokenstream.h"

namespace primroseworks::pvt {

namespace {

using Json = nlohmann::json;

CacheEvent cacheEventFrom(const Json &From) {
  CacheEvent Event;
  Event.m_sequence = From.at("sequence").get<std::uint64_t>();
  Event.m_stored = From.at("stored").get<bool>();
  Event.m_model = From.at("model").get<std::string>();
  Event.m_prefixHash = From.at("prefix_hash").get<std::uint64_t>();
  return Event;
}

template <class T, class Decode>
Result<T> decode(std::string_view Body, Decode &&Make) {
  const Json Parsed = parseLimited(Body);
  if (Parsed.is_discarded())
    return makeError(ErrorKind::Protocol,
                     "the engine's answer is not JSON; check its dialect");
  try {
    return Make(Parsed);
  } catch (const Json::exception &Failure) {
    return makeError(ErrorKind::Protocol,
                     std::string("the engine's answer lacks a field (") +
                         Failure.what() + "); check its dialect");
  }
}

} // namespace

Result<LoadReport> readReport(std::string_view Body) {
  return decode<LoadReport>(Body, reportFromJson);
}

Result<std::vector<CacheEvent>> readCacheEvents(std::string_view Body) {
  return decode<std::vector<CacheEvent>>(Body, [](const Json &From) {
    std::vector<CacheEvent> Events;
    for (const Json &Row : From.at("events"))
      Events.push_back(cacheEventFrom(Row));
    return Events;
  });
}

Result<OrderState> readOrderState(std::string_view Body) {
  return decode<OrderState>(Body, [](const Json &From) {
    return parseName(OrderStateNames, From.at("state").get<std::string>())
        .value_or(OrderState::Unknown);
  });
}

} // namespace primroseworks::pvt
