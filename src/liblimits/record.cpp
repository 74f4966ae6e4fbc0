// The value of a limit's key.
#include "liblimits/record.h"

#include <nlohmann/json.hpp>

namespace primroseworks::pvt {

unsigned LimitRecord::total() const {
  unsigned Sum = 0;
  for (const auto &[Incarnation, Entry] : m_entries)
    Sum += Entry.m_units;
  return Sum;
}

std::string LimitRecord::encode() const {
  nlohmann::json Out = {{"limit", m_limit},
                        {"revision", m_limitRevision},
                        {"starts_per_second", m_startsPerSecond},
                        {"starts", m_starts},
                        {"until_free_ms", m_untilFree.count()},
                        {"holders", nlohmann::json::array()}};
  for (const auto &[Incarnation, Entry] : m_entries)
    Out["holders"].push_back({{"incarnation", Incarnation},
                              {"name", Entry.m_holder},
                              {"renewal", Entry.m_renewal},
                              {"units", Entry.m_units},
                              {"wanted", Entry.m_wanted}});
  return Out.dump();
}

Result<LimitRecord> LimitRecord::decode(const std::string &Text) {
  LimitRecord Record;
  try {
    nlohmann::json In = nlohmann::json::parse(Text);
    Record.m_limit = In.at("limit").get<unsigned>();
    Record.m_limitRevision = In.at("revision").get<std::uint64_t>();
    Record.m_startsPerSecond = In.value("starts_per_second", 0.0);
    Record.m_starts = In.value("starts", std::uint64_t(0));
    Record.m_untilFree =
        Milliseconds(In.value("until_free_ms", std::int64_t(0)));
    for (const auto &Row : In.at("holders")) {
      LimitEntry &Entry =
          Record.m_entries[Row.at("incarnation").get<std::uint64_t>()];
      Entry.m_holder = Row.at("name").get<std::string>();
      Entry.m_renewal = Row.at("renewal").get<std::uint64_t>();
      Entry.m_units = Row.at("units").get<unsigned>();
      Entry.m_wanted = Row.at("wanted").get<unsigned>();
    }
  } catch (const nlohmann::json::exception &E) {
    return makeError(ErrorKind::Protocol,
                     std::string("the record of a limit is not readable (") +
                         E.what() +
                         "); delete its key when no load is in progress");
  }
  return Record;
}

} // namespace primroseworks::pvt
