// Checker of histories.
#include "primroseworks/history.h"

#include <algorithm>
#include <ostream>
#include <set>

namespace primroseworks {
namespace {

/// Violations of one promise that a report prints in full.
constexpr std::size_t PrintedViolations = 20;

class Checker {
public:
  explicit Checker(std::vector<HistoryEvent> Events)
      : m_events(std::move(Events)) {
    std::stable_sort(m_events.begin(), m_events.end(),
                     [](const HistoryEvent &A, const HistoryEvent &B) {
                       return A.m_atMicros < B.m_atMicros;
                     });
  }

  HistoryReport run() {
    for (const HistoryEvent &E : m_events)
      collect(E);
    for (const HistoryEvent &E : m_events)
      check(E);
    checkKeys();
    countUnanswered();
    return std::move(m_report);
  }

private:
  /// Indexes executions and invocations, which a response may precede in time:
  /// a request can be executed after its caller was told otherwise.
  void collect(const HistoryEvent &E) {
    if (E.m_kind == HistoryKind::Execution) {
      ++m_report.m_executions;
      m_executions.emplace(E.m_requestId, &E);
      if (!E.m_key.empty())
        m_byKey.emplace(E.m_key, &E);
    }
    if (E.m_kind == HistoryKind::Invocation) {
      ++m_report.m_requests;
      m_invocations.emplace(E.m_requestId, &E);
    }
    if (E.m_kind == HistoryKind::Fault)
      ++m_report.m_faults[E.m_subject];
  }

  void check(const HistoryEvent &E) {
    switch (E.m_kind) {
    case HistoryKind::Response:
      return checkResponse(E);
    case HistoryKind::ConfigurationAccepted:
      m_accepted.emplace_back(E.m_atMicros, E.m_value);
      return;
    case HistoryKind::ConfigurationSeen:
      return checkConfiguration(E);
    case HistoryKind::Memory:
      if (E.m_value > E.m_limit)
        add(Promise::MemoryFits,
            "endpoint " + E.m_subject + " held " + std::to_string(E.m_value) +
                " of " + std::to_string(E.m_limit) + " bytes" + at(E));
      return;
    case HistoryKind::Invocation:
    case HistoryKind::Execution:
    case HistoryKind::Fault:
      return;
    }
  }

  void checkResponse(const HistoryEvent &E) {
    ++m_report.m_outcomes[std::string(nameOf(CallerOutcomeNames, E.m_outcome))];
    auto Invoked = m_invocations.find(E.m_requestId);
    if (Invoked == m_invocations.end())
      return add(Promise::SingleResponse, "response to " + E.m_requestId +
                                              ", which was never sent" + at(E));
    if (!m_answered.insert(E.m_requestId).second)
      add(Promise::SingleResponse,
          "second response to " + E.m_requestId + at(E));
    if (E.m_outcome == CallerOutcome::Ran)
      checkAnswer(E, Invoked->second->m_key);
    if (E.m_outcome == CallerOutcome::NotRun &&
        m_executions.count(E.m_requestId) != 0)
      add(Promise::NotRunTruth,
          "request " + E.m_requestId + " was told not-run" + at(E) +
              " and executed" + at(*m_executions.find(E.m_requestId)->second));
  }

  /// The answer must come from an execution of this request or, for a keyed
  /// request, of an earlier one with its key.
  void checkAnswer(const HistoryEvent &E, const std::string &Key) {
    if (!E.m_complete)
      add(Promise::WholeAnswer,
          "request " + E.m_requestId + " got a part as a whole" + at(E));
    const auto Matches = [&](const auto &Index, const std::string &Name) {
      const auto [First, Last] = Index.equal_range(Name);
      return std::any_of(First, Last, [&](const auto &Entry) {
        return Entry.second->m_answer == E.m_answer;
      });
    };
    if (Matches(m_executions, E.m_requestId) ||
        (!Key.empty() && Matches(m_byKey, Key)))
      return;
    add(Promise::WholeAnswer,
        "request " + E.m_requestId + " got '" + E.m_answer +
            "', which no execution of it produced" + at(E));
  }

  void checkConfiguration(const HistoryEvent &E) {
    std::uint64_t &Last = m_seen[E.m_subject];
    if (E.m_value < Last)
      add(Promise::NeverReverts, "daemon " + E.m_subject +
                                     " went from revision " +
                                     std::to_string(Last) + " to " +
                                     std::to_string(E.m_value) + at(E));
    Last = std::max(Last, E.m_value);
    const std::int64_t Deadline =
        std::chrono::microseconds(ConfigurationDeadline).count();
    for (const auto &[When, Revision] : m_accepted)
      if (Revision > E.m_value && E.m_atMicros - When > Deadline)
        return add(Promise::InForce,
                   "daemon " + E.m_subject + " had revision " +
                       std::to_string(E.m_value) + at(E) + ", but revision " +
                       std::to_string(Revision) + " was accepted at " +
                       std::to_string(When) + " us");
  }

  void checkKeys() {
    for (auto It = m_byKey.begin(); It != m_byKey.end();) {
      const auto End = m_byKey.upper_bound(It->first);
      const auto Count = std::distance(It, End);
      if (Count > 1) {
        std::string Text = "key " + It->first + " was executed " +
                           std::to_string(Count) + " times:";
        for (auto Each = It; Each != End; ++Each)
          Text += " request " + Each->second->m_requestId + " by " +
                  Each->second->m_subject + at(*Each->second);
        add(Promise::AtMostOnce, Text);
      }
      It = End;
    }
  }

  void countUnanswered() {
    for (const auto &[Id, E] : m_invocations)
      m_report.m_unanswered += m_answered.count(Id) == 0 ? 1 : 0;
  }

  void add(Promise Broken, std::string Text) {
    m_report.m_violations.push_back({Broken, std::move(Text)});
  }
  static std::string at(const HistoryEvent &E) {
    return " at " + std::to_string(E.m_atMicros) + " us";
  }

  std::vector<HistoryEvent> m_events;
  HistoryReport m_report;
  std::multimap<std::string, const HistoryEvent *> m_executions;
  std::multimap<std::string, const HistoryEvent *> m_byKey;
  std::map<std::string, const HistoryEvent *> m_invocations;
  std::set<std::string> m_answered;
  std::map<std::string, std::uint64_t> m_seen;
  std::vector<std::pair<std::int64_t, std::uint64_t>> m_accepted;
};

} // namespace

HistoryReport checkHistory(std::vector<HistoryEvent> Events) {
  return Checker(std::move(Events)).run();
}

void printReport(const HistoryReport &Report, std::ostream &Out) {
  Out << "requests: " << Report.m_requests << "\n";
  for (const auto &[Name, Count] : Report.m_outcomes)
    Out << "  " << Name << ": " << Count << "\n";
  Out << "  unanswered: " << Report.m_unanswered << "\n"
      << "executions: " << Report.m_executions << "\n"
      << "faults:\n";
  for (const auto &[Name, Count] : Report.m_faults)
    Out << "  " << Name << ": " << Count << "\n";
  Out << "violations:\n";
  for (const auto &Row : PromiseNames) {
    std::vector<const Violation *> Broken;
    for (const Violation &V : Report.m_violations)
      if (V.m_promise == Row.m_value)
        Broken.push_back(&V);
    Out << "  " << Row.m_name << ": " << Broken.size() << "\n";
    for (std::size_t I = 0; I < Broken.size() && I < PrintedViolations; ++I)
      Out << "    " << Broken[I]->m_text << "\n";
    if (Broken.size() > PrintedViolations)
      Out << "    and " << Broken.size() - PrintedViolations << " more\n";
  }
}

} // namespace primroseworks
