// Documents from outside, read with a bound on their nesting.
#include "libbase/limitedjson.h"

#include <algorithm>

namespace primroseworks::pvt {

namespace {

using Json = nlohmann::json;

/// Builds the document and refuses deep nesting.
class LimitedBuilder : public nlohmann::detail::json_sax_dom_parser<Json> {
  using Base = nlohmann::detail::json_sax_dom_parser<Json>;

public:
  LimitedBuilder(Json &Out, std::size_t MaxNesting)
      : Base(Out, false), m_maxNesting(MaxNesting) {}

  // Names are those of the library's SAX interface.
  // NOLINTBEGIN(readability-identifier-naming)
  bool start_object(std::size_t Size) {
    return ++m_depth <= m_maxNesting && Base::start_object(Size);
  }
  bool end_object() {
    --m_depth;
    return Base::end_object();
  }
  bool start_array(std::size_t Size) {
    return ++m_depth <= m_maxNesting && Base::start_array(Size);
  }
  bool end_array() {
    --m_depth;
    return Base::end_array();
  }
  // NOLINTEND(readability-identifier-naming)

private:
  const std::size_t m_maxNesting;
  std::size_t m_depth = 0;
};

bool containsFraction(const Json &Value) {
  if (Value.is_structured())
    return std::any_of(Value.begin(), Value.end(), containsFraction);
  return Value.is_number_float();
}

} // namespace

Json parseLimited(std::string_view Bytes, std::size_t MaxNesting,
                  Json::input_format_t Format) {
  Json Parsed;
  LimitedBuilder Builder(Parsed, MaxNesting);
  if (!Json::sax_parse(Bytes.begin(), Bytes.end(), &Builder, Format))
    return Json::value_t::discarded;
  return Parsed;
}

Json parseMessage(std::string_view Bytes) {
  Json Message =
      parseLimited(Bytes, MaxMessageNesting, Json::input_format_t::cbor);
  if (Message.is_discarded() || containsFraction(Message))
    return Json::value_t::discarded;
  return Message;
}

} // namespace primroseworks::pvt
