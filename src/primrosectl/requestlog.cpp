// Selects and prints the log lines of one request.
#include "primrosectl/requestlog.h"

#include "primroseworks/names.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <set>

namespace primroseworks::ctl {

namespace {

/// Events that tell the state of a VM.
const std::set<std::string> VmEvents = {"start",
                                        "stop",
                                        "stopped",
                                        "store_lost",
                                        "store_back",
                                        "store_copy_stale",
                                        "store_copy_confirmed",
                                        "accounts_became_stale",
                                        "accounts_confirmed",
                                        "loop_stalled",
                                        "watch_failed",
                                        "lease_lost",
                                        "configuration",
                                        "placement_leader",
                                        "claimed_leadership",
                                        "leader_fenced",
                                        "coordinator_silent",
                                        "coordinator_role"};

/// What the lines of a request name, and when it was in progress.
struct Scope {
  std::int64_t m_from = 0;
  std::int64_t m_to = 0;
  std::set<std::string> m_vms;
  std::set<std::string> m_endpoints;
  std::string m_model;
  std::string m_adapter;
};

using EntryHandler = std::function<void(LogEntry)>;

Result<void> readLines(const std::string &File, const EntryHandler &Handle) {
  std::ifstream In(File);
  if (!In)
    return makeError(ErrorKind::NotFound,
                     "the log file " + File +
                         " cannot be read; pass the saved output of a gateway");
  std::string Line;
  while (std::getline(In, Line))
    if (std::optional<LogEntry> Entry = parseLogLine(Line))
      Handle(std::move(*Entry));
  return boost::outcome_v2::success();
}

Scope scopeOf(const std::vector<RelatedEntry> &Own) {
  Scope Out;
  Out.m_from = Out.m_to = Own.front().m_entry.m_millis;
  for (const RelatedEntry &Related : Own) {
    const LogEntry &E = Related.m_entry;
    const auto Took = static_cast<std::int64_t>(E.number("total_ms"));
    Out.m_from = std::min(Out.m_from, E.m_millis - Took);
    Out.m_to = std::max(Out.m_to, E.m_millis);
    Out.m_vms.insert(E.m_vm);
    Out.m_endpoints.insert(E.text("endpoint"));
    Out.m_vms.insert(E.text("coordinator"));
    if (!E.text("model").empty()) {
      Out.m_model = E.text("model");
      Out.m_adapter = E.text("adapter");
    }
  }
  // Requests that were not sent name no endpoint.
  Out.m_endpoints.erase("");
  Out.m_vms.erase("");
  return Out;
}

std::optional<Relation> relationOf(const LogEntry &E, const Scope &S) {
  if (E.m_millis < S.m_from - RelatedMillisBefore || E.m_millis > S.m_to)
    return std::nullopt;
  if (E.m_event == "request")
    return std::nullopt;
  if (S.m_endpoints.count(E.text("endpoint")) && E.m_event != "order")
    return Relation::Endpoint;
  if (E.m_event == "order" && !S.m_model.empty() &&
      E.text("model") == S.m_model &&
      (E.text("adapter").empty() || E.text("adapter") == S.m_adapter))
    return Relation::Model;
  if (VmEvents.count(E.m_event) && S.m_vms.count(E.m_vm))
    return Relation::Vm;
  return std::nullopt;
}

std::string fieldsOf(const LogEntry &E) {
  static const std::set<std::string> ShownElsewhere = {"t", "event", "vm",
                                                       "id"};
  std::string Out;
  for (const auto &[Name, Value] : E.m_fields.items()) {
    const std::string Text =
        Value.is_string() ? Value.get<std::string>() : Value.dump();
    if (!ShownElsewhere.count(Name) && !Text.empty())
      Out += ' ' + Name + '=' + Text;
  }
  return Out;
}

constexpr NameTable<Relation, 4> RelationNames = {
    {{Relation::Request, "request"},
     {Relation::Vm, "vm"},
     {Relation::Endpoint, "endpoint"},
     {Relation::Model, "model"}}};

} // namespace

std::string LogEntry::text(const std::string &Name) const {
  const auto It = m_fields.find(Name);
  return It != m_fields.end() && It->is_string() ? It->get<std::string>()
                                                 : std::string();
}

double LogEntry::number(const std::string &Name) const {
  const auto It = m_fields.find(Name);
  return It != m_fields.end() && It->is_number() ? It->get<double>() : 0;
}

std::optional<LogEntry> parseLogLine(const std::string &Line) {
  const std::size_t Begin = Line.find('{');
  if (Begin == std::string::npos)
    return std::nullopt;
  LogEntry Out;
  Out.m_fields = nlohmann::json::parse(Line.substr(Begin), nullptr, false);
  if (!Out.m_fields.is_object() || !Out.m_fields.contains("t") ||
      !Out.m_fields["t"].is_number_integer())
    return std::nullopt;
  Out.m_millis = Out.m_fields["t"].get<std::int64_t>();
  Out.m_vm = Out.text("vm");
  Out.m_event = Out.text("event");
  return Out;
}

Result<RequestLife> readRequestLife(const std::vector<std::string> &Files,
                                    const std::string &Id) {
  RequestLife Life;
  Life.m_id = Id;
  const EntryHandler AddOwn = [&Life, &Id](LogEntry E) {
    if (E.text("id") == Id)
      Life.m_entries.push_back({Relation::Request, std::move(E)});
  };
  for (const std::string &File : Files) {
    BOOST_OUTCOME_TRYV(readLines(File, AddOwn));
  }
  if (Life.m_entries.empty())
    return makeError(ErrorKind::NotFound,
                     "no line names request " + Id +
                         "; pass the logs of all VMs, and look for left_out: "
                         "successful requests are logged in part");
  const Scope S = scopeOf(Life.m_entries);
  Life.m_arrivedMillis = S.m_from;
  const EntryHandler AddRelated = [&Life, &Id, &S](LogEntry E) {
    const std::optional<Relation> R = relationOf(E, S);
    if (!R || E.text("id") == Id)
      return;
    if (Life.m_entries.size() < MaxRelatedEntries)
      Life.m_entries.push_back({*R, std::move(E)});
    else
      ++Life.m_leftOut;
  };
  for (const std::string &File : Files) {
    BOOST_OUTCOME_TRYV(readLines(File, AddRelated));
  }
  std::stable_sort(Life.m_entries.begin(), Life.m_entries.end(),
                   [](const RelatedEntry &A, const RelatedEntry &B) {
                     return A.m_entry.m_millis < B.m_entry.m_millis;
                   });
  return Life;
}

std::string describe(const RequestLife &Life) {
  std::string Out;
  for (const RelatedEntry &Related : Life.m_entries) {
    const LogEntry &E = Related.m_entry;
    if (Related.m_relation == Relation::Request && E.m_event == "request")
      Out += fmt::format("request {} at {}: {}, reason {}, waited {:.0f} ms, "
                         "took {:.0f} ms\n",
                         Life.m_id, E.m_vm, E.text("outcome"), E.text("reason"),
                         E.number("waited_ms"), E.number("total_ms"));
  }
  Out += "time since its arrival, what the line is about, VM, line\n";
  for (const RelatedEntry &Related : Life.m_entries) {
    const LogEntry &E = Related.m_entry;
    const double Since =
        static_cast<double>(E.m_millis - Life.m_arrivedMillis) / 1000;
    Out += fmt::format("{:+8.3f} s  {:<8}  {:<18}  {}{}\n", Since,
                       nameOf(RelationNames, Related.m_relation), E.m_vm,
                       E.m_event, fieldsOf(E));
  }
  if (Life.m_leftOut > 0)
    Out += fmt::format("{} more lines are left out\n", Life.m_leftOut);
  return Out;
}

} // namespace primroseworks::ctl
