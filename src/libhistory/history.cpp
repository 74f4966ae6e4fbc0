// Recorder and file format of histories.
#include "primroseworks/history.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <fstream>
#include <mutex>

namespace primroseworks {

using nlohmann::json;

std::string encodeHistoryEvent(const HistoryEvent &Event) {
  json Value = {{"kind", nameOf(HistoryKindNames, Event.m_kind)},
                {"at", Event.m_atMicros}};
  const auto Put = [&](const char *Name, const std::string &Text) {
    if (!Text.empty())
      Value[Name] = Text;
  };
  Put("request", Event.m_requestId);
  Put("key", Event.m_key);
  Put("subject", Event.m_subject);
  Put("answer", Event.m_answer);
  if (Event.m_kind == HistoryKind::Response) {
    Value["outcome"] = nameOf(CallerOutcomeNames, Event.m_outcome);
    Value["complete"] = Event.m_complete;
  }
  if (Event.m_value != 0)
    Value["value"] = Event.m_value;
  if (Event.m_limit != 0)
    Value["limit"] = Event.m_limit;
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<HistoryEvent> decodeHistoryEvent(const std::string &Line) {
  try {
    const json Value = json::parse(Line);
    HistoryEvent Out;
    const auto Kind =
        parseName(HistoryKindNames, Value.at("kind").get<std::string>());
    if (!Kind)
      return makeError(ErrorKind::Protocol,
                       "unknown kind of event; use one of " +
                           allNames(HistoryKindNames));
    Out.m_kind = *Kind;
    Out.m_atMicros = Value.at("at").get<std::int64_t>();
    Out.m_requestId = Value.value("request", "");
    Out.m_key = Value.value("key", "");
    Out.m_subject = Value.value("subject", "");
    Out.m_answer = Value.value("answer", "");
    Out.m_value = Value.value("value", std::uint64_t{0});
    Out.m_limit = Value.value("limit", std::uint64_t{0});
    if (Out.m_kind != HistoryKind::Response)
      return Out;
    const auto Outcome =
        parseName(CallerOutcomeNames, Value.at("outcome").get<std::string>());
    if (!Outcome)
      return makeError(ErrorKind::Protocol, "unknown outcome; use one of " +
                                                allNames(CallerOutcomeNames));
    Out.m_outcome = *Outcome;
    Out.m_complete = Value.at("complete").get<bool>();
    return Out;
  } catch (const json::exception &E) {
    return makeError(ErrorKind::Protocol,
                     std::string("not an event (") + E.what() +
                         "); write one JSON object per line");
  }
}

Result<std::vector<HistoryEvent>> readHistory(std::istream &In) {
  std::vector<HistoryEvent> Out;
  std::string Line;
  for (std::size_t Number = 1; std::getline(In, Line); ++Number) {
    if (Line.empty())
      continue;
    Result<HistoryEvent> Event = decodeHistoryEvent(Line);
    if (!Event)
      return makeError(Event.error().m_kind, "line " + std::to_string(Number) +
                                                 ": " +
                                                 Event.error().m_message);
    Out.push_back(std::move(Event).value());
  }
  return Out;
}

namespace {

class HistoryRecorderImpl final : public HistoryRecorder {
public:
  explicit HistoryRecorderImpl(std::ofstream File) : m_file(std::move(File)) {}

  void record(HistoryEvent Event) override {
    if (Event.m_atMicros == 0)
      Event.m_atMicros =
          std::chrono::duration_cast<std::chrono::microseconds>(
              std::chrono::steady_clock::now().time_since_epoch())
              .count();
    const std::string Line = encodeHistoryEvent(Event) + '\n';
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_file << Line;
  }

  Result<void> close() override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_file.close();
    if (m_file)
      return boost::outcome_v2::success();
    return makeError(ErrorKind::Unavailable,
                     "the history could not be written; check the disk");
  }

private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

} // namespace

Result<std::unique_ptr<HistoryRecorder>>
createHistoryRecorder(const std::string &Path) {
  std::ofstream File(Path, std::ios::trunc);
  if (!File)
    return makeError(ErrorKind::Unavailable,
                     "file '" + Path +
                         "' cannot be opened for writing; check its folder");
  return std::unique_ptr<HistoryRecorder>(
      std::make_unique<HistoryRecorderImpl>(std::move(File)));
}

} // namespace primroseworks
