// Tests of the history checker: histories that break each promise are reported,
// and sound ones are not.
#include "primroseworks/history.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

using namespace primroseworks;

namespace {

HistoryEvent invocation(std::int64_t At, const std::string &Id,
                        const std::string &Key = "") {
  HistoryEvent E;
  E.m_kind = HistoryKind::Invocation;
  E.m_atMicros = At;
  E.m_requestId = Id;
  E.m_key = Key;
  E.m_subject = "caller";
  return E;
}
HistoryEvent response(std::int64_t At, const std::string &Id,
                      CallerOutcome Outcome, const std::string &Answer = "") {
  HistoryEvent E;
  E.m_kind = HistoryKind::Response;
  E.m_atMicros = At;
  E.m_requestId = Id;
  E.m_outcome = Outcome;
  E.m_answer = Answer;
  return E;
}
HistoryEvent execution(std::int64_t At, const std::string &Id,
                       const std::string &Answer, const std::string &Key = "") {
  HistoryEvent E;
  E.m_kind = HistoryKind::Execution;
  E.m_atMicros = At;
  E.m_requestId = Id;
  E.m_key = Key;
  E.m_subject = "endpoint";
  E.m_answer = Answer;
  return E;
}
HistoryEvent other(HistoryKind Kind, std::int64_t At,
                   const std::string &Subject, std::uint64_t Value,
                   std::uint64_t Limit = 0) {
  HistoryEvent E;
  E.m_kind = Kind;
  E.m_atMicros = At;
  E.m_subject = Subject;
  E.m_value = Value;
  E.m_limit = Limit;
  return E;
}
std::vector<Promise> broken(const std::vector<HistoryEvent> &Events) {
  std::vector<Promise> Out;
  for (const Violation &V : checkHistory(Events).m_violations)
    Out.push_back(V.m_promise);
  return Out;
}
using Promises = std::vector<Promise>;

std::vector<HistoryEvent> soundHistory() {
  return {
      invocation(1, "a"),
      execution(2, "a", "x"),
      execution(3, "a", "y"), // Repeatable: a retry on another endpoint.
      response(4, "a", CallerOutcome::Ran, "y"),
      invocation(5, "b", "k"),
      execution(6, "b", "z", "k"),
      response(7, "b", CallerOutcome::Unknown),
      invocation(8, "c", "k"), // The caller's retry gets the recorded answer.
      response(9, "c", CallerOutcome::Ran, "z"),
      invocation(10, "d", "k2"),
      response(11, "d", CallerOutcome::NotRun),
      invocation(12, "e", "k2"), // A retry after not-run may run.
      execution(13, "e", "w", "k2"),
      invocation(14, "f"),
      other(HistoryKind::ConfigurationAccepted, 100, "op", 2),
      other(HistoryKind::ConfigurationSeen, 4'000'100, "d1", 1),
      other(HistoryKind::ConfigurationSeen, 4'000'101, "d1", 2),
      other(HistoryKind::Memory, 20, "e1", 100, 100),
      other(HistoryKind::Fault, 21, "store-outage", 0),
      other(HistoryKind::Fault, 22, "store-outage", 0),
  };
}

} // namespace

// Guards against reports of violations that are none, and against wrong counts.
TEST(History, SoundHistoryHasNoViolation) {
  const HistoryReport Report = checkHistory(soundHistory());
  for (const Violation &V : Report.m_violations)
    ADD_FAILURE() << V.m_text;
  EXPECT_EQ(Report.m_requests, 6u);
  EXPECT_EQ(Report.m_unanswered, 2u);
  EXPECT_EQ(Report.m_executions, 4u);
  EXPECT_EQ(Report.m_outcomes.at("ran"), 2u);
  EXPECT_EQ(Report.m_faults.at("store-outage"), 2u);
}

// Guards against a second run of a key that is not seen, also by the same
// request.
TEST(History, ReportsASecondExecutionOfAKey) {
  EXPECT_EQ(broken({invocation(1, "a", "k"), execution(2, "a", "x", "k"),
                    execution(3, "b", "x", "k")}),
            Promises{Promise::AtMostOnce});
  EXPECT_EQ(broken({execution(2, "a", "x", "k"), execution(3, "a", "x", "k")}),
            Promises{Promise::AtMostOnce});
}

// Guards against answers of other requests, of other keys, or cut short.
TEST(History, ReportsForeignAndPartialAnswers) {
  EXPECT_EQ(broken({invocation(1, "a"), invocation(1, "b"),
                    execution(2, "a", "x"), execution(2, "b", "y"),
                    response(3, "a", CallerOutcome::Ran, "y")}),
            Promises{Promise::WholeAnswer});
  EXPECT_EQ(broken({invocation(1, "a", "k1"), execution(2, "b", "y", "k2"),
                    response(3, "a", CallerOutcome::Ran, "y")}),
            Promises{Promise::WholeAnswer});
  EXPECT_EQ(
      broken({invocation(1, "a"), response(3, "a", CallerOutcome::Ran, "")}),
      Promises{Promise::WholeAnswer})
      << "ran, but nothing executed";
  HistoryEvent Part = response(3, "a", CallerOutcome::Ran, "x");
  Part.m_complete = false;
  EXPECT_EQ(broken({invocation(1, "a"), execution(2, "a", "x"), Part}),
            Promises{Promise::WholeAnswer});
}

// Guards against an execution after not-run that is overlooked because it is
// later than the response.
TEST(History, ReportsNotRunThatRan) {
  EXPECT_EQ(broken({invocation(1, "a"), execution(2, "a", "x"),
                    response(3, "a", CallerOutcome::NotRun)}),
            Promises{Promise::NotRunTruth});
  EXPECT_EQ(broken({invocation(1, "a"), response(3, "a", CallerOutcome::NotRun),
                    execution(4, "a", "x")}),
            Promises{Promise::NotRunTruth});
}

// Guards against a daemon that reverts, or that never gets a revision.
TEST(History, ReportsConfigurationThatRevertsOrIsLate) {
  EXPECT_EQ(broken({other(HistoryKind::ConfigurationSeen, 2, "d1", 3),
                    other(HistoryKind::ConfigurationSeen, 1, "d1", 2),
                    other(HistoryKind::ConfigurationSeen, 3, "d2", 2),
                    other(HistoryKind::ConfigurationSeen, 4, "d1", 2)}),
            Promises{Promise::NeverReverts});
  EXPECT_EQ(broken({other(HistoryKind::ConfigurationAccepted, 10, "op", 2),
                    other(HistoryKind::ConfigurationSeen, 4'000'011, "d1", 1)}),
            Promises{Promise::InForce});
}

// Guards against memory beyond an accelerator's size.
TEST(History, ReportsMemoryBeyondTheSize) {
  EXPECT_EQ(broken({other(HistoryKind::Memory, 1, "e1", 101, 100)}),
            Promises{Promise::MemoryFits});
}

// Guards against answers delivered twice or to nobody.
TEST(History, ReportsResponsesWithoutTheirInvocation) {
  EXPECT_EQ(broken({response(1, "a", CallerOutcome::NotRun)}),
            Promises{Promise::SingleResponse});
  EXPECT_EQ(broken({invocation(1, "a"), response(2, "a", CallerOutcome::NotRun),
                    response(3, "a", CallerOutcome::Unknown)}),
            Promises{Promise::SingleResponse});
}

// Guards against a verdict that depends on the order of lines from several
// processes.
RC_GTEST_PROP(HistoryProperty, OrderOfEventsDoesNotMatter, ()) {
  std::vector<HistoryEvent> Events = soundHistory();
  Events.push_back(execution(30, "d", "v"));
  for (std::size_t I = Events.size() - 1; I > 0; --I)
    std::swap(Events[I], Events[*rc::gen::inRange<std::size_t>(0, I + 1)]);
  RC_ASSERT(broken(Events) == Promises{Promise::NotRunTruth});
}

// Guards against events that change or get lost on their way through the file.
TEST(History, FileRoundTripsFromSeveralThreads) {
  const std::string Path =
      testing::TempDir() + "history_test" + std::to_string(getpid()) + ".jsonl";
  auto Recorder = createHistoryRecorder(Path).value();
  std::vector<std::thread> Threads;
  Threads.reserve(4);
  for (int T = 0; T < 4; ++T)
    Threads.emplace_back([&] {
      for (const HistoryEvent &E : soundHistory())
        Recorder->record(E);
    });
  for (std::thread &T : Threads)
    T.join();
  ASSERT_TRUE(Recorder->close());
  std::ifstream In(Path);
  const auto Events = readHistory(In).value();
  EXPECT_EQ(Events.size(), 4 * soundHistory().size());
  std::istringstream Bad("\n{\"kind\":\"memory\"}\n");
  EXPECT_NE(readHistory(Bad).error().m_message.find("line 2"),
            std::string::npos);
  for (const HistoryEvent &E : soundHistory())
    EXPECT_EQ(
        encodeHistoryEvent(decodeHistoryEvent(encodeHistoryEvent(E)).value()),
        encodeHistoryEvent(E));
  std::remove(Path.c_str());
}
