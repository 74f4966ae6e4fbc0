// One seeded run of concurrent callers, operators and faults.
#include "historyrun.h"

#include "client.h"
#include "primrose-standins/tokens.h"
#include "primroseworks/history.h"

#include <array>
#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace primroseworks::faults {

namespace {

using Json = nlohmann::json;

constexpr Milliseconds AnswerTimeout{45000};
constexpr unsigned MaxTries = 60;
constexpr Milliseconds TryPause{300};

// A daemon that was paused or restarted gets this long before its revision is
// judged: the deadline counts from when it runs.
constexpr Seconds JudgeDelay{6};

TimePoint now() { return std::chrono::steady_clock::now(); }

/// The callers' side of one key.
struct KeyHistory {
  std::string m_answer;                 ///< Of the first `ran`.
  std::string m_executedBy;             ///< Request id in that answer.
  std::vector<std::string> m_notRunIds; ///< Invocations told `not-run`.
  bool m_otherOutcomes = false;         ///< Some invocation was not `not-run`.
};

class Run {
public:
  Run(const HistoryRunOptions &Options, Cluster &Processes,
      HistoryRecorder &Out)
      : m_options(Options), m_cluster(Processes), m_out(Out),
        m_judgedFrom(Processes.daemons().size(), now() + JudgeDelay) {}

  void perform() {
    std::vector<std::thread> Callers;
    for (unsigned I = 0; I < m_options.m_callers; ++I)
      Callers.emplace_back([this, I] { call(I); });
    std::thread Watcher([this] { watch(); });
    std::thread Operators([this] { operate(); });
    std::thread Injector([this] { inject(); });
    for (std::thread &Caller : Callers)
      Caller.join();
    m_finished = true;
    Injector.join();
    Operators.join();
    Watcher.join();
    recordExecutions();
    recordMemory();
  }

private:
  // ---- Callers ----

  void call(unsigned Caller) {
    std::mt19937 Random(m_options.m_seed * 1000 + Caller);
    for (unsigned I = 0; I < m_options.m_requestsPerCaller; ++I) {
      std::string Name = fmt::format("h{}-{}-{}", m_options.m_seed, Caller, I);
      switch (Random() % 3) {
      case 0:
        keyed(Name, Random);
        break;
      case 1:
        whole(Name, Random);
        break;
      default:
        streamed(Name, Random);
      }
    }
  }

  const DaemonProcess &pick(std::mt19937 &Random) const {
    return m_cluster.daemons()[Random() % m_cluster.daemons().size()];
  }

  void invoked(const std::string &Id, const std::string &Key) {
    HistoryEvent Event;
    Event.m_kind = HistoryKind::Invocation;
    Event.m_requestId = Id;
    Event.m_key = Key;
    m_out.record(Event);
  }

  void responded(const std::string &Id, const std::string &Key,
                 CallerOutcome Outcome, const std::string &Text,
                 bool Complete = true) {
    HistoryEvent Event;
    Event.m_kind = HistoryKind::Response;
    Event.m_requestId = Id;
    Event.m_key = Key;
    Event.m_outcome = Outcome;
    Event.m_answer = Text;
    Event.m_complete = Complete;
    m_out.record(Event);
  }

  static CallerOutcome outcomeOf(const Answer &Got) {
    if (!Got.m_received)
      return CallerOutcome::Unknown;
    return parseName(CallerOutcomeNames, Got.m_outcome)
        .value_or(CallerOutcome::Unknown);
  }

  void keyed(const std::string &Key, std::mt19937 &Random) {
    for (unsigned Try = 0; Try < MaxTries; ++Try) {
      std::string Id = fmt::format("{}.{}", Key, Try);
      invoked(Id, Key);
      Answer Got = faults::call(
          pick(Random).m_url, "POST", "/v1/services/register/certificates",
          {{"Idempotency-Key", Key}, {"X-Request-Id", Id}}, R"({"n":1})",
          AnswerTimeout);
      CallerOutcome Outcome = outcomeOf(Got);
      responded(Id, Key, Outcome,
                Outcome == CallerOutcome::Ran ? Got.m_body : "");
      {
        std::lock_guard<std::mutex> Lock(m_mutex);
        KeyHistory &Known = m_keys[Key];
        if (Outcome == CallerOutcome::Ran && Known.m_answer.empty()) {
          Known.m_answer = Got.m_body;
          Json Body = Json::parse(Got.m_body, nullptr, false);
          Known.m_executedBy =
              Body.is_object() ? Body.value("request_id", "") : "";
        }
        if (Outcome == CallerOutcome::NotRun)
          Known.m_notRunIds.push_back(Id);
        else
          Known.m_otherOutcomes = true;
      }
      if (Outcome == CallerOutcome::Ran || Got.m_status == 409)
        return;
      std::this_thread::sleep_for(TryPause);
    }
  }

  void expect(const std::string &Id, const std::string &Text) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_expected[Id] = Text;
  }

  void whole(const std::string &Id, std::mt19937 &Random) {
    std::string Prompt = "whole " + Id;
    unsigned Tokens = 4 + Random() % 40;
    expect(Id, standins::answerTo(Prompt, Tokens));
    invoked(Id, "");
    Answer Got = faults::call(
        pick(Random).m_url, "POST", "/v1/completions", {{"X-Request-Id", Id}},
        completionBody(model(Random), Prompt, Tokens, false), AnswerTimeout);
    CallerOutcome Outcome = outcomeOf(Got);
    responded(Id, "", Outcome,
              Outcome == CallerOutcome::Ran ? textOf(Got) : "");
  }

  void streamed(const std::string &Id, std::mt19937 &Random) {
    std::string Prompt = "stream " + Id;
    unsigned Tokens = 20 + Random() % 60;
    expect(Id, standins::answerTo(Prompt, Tokens));
    invoked(Id, "");
    const std::string Body =
        completionBody(model(Random), Prompt, Tokens, true);
    StreamAnswer Got = stream(pick(Random).m_url, {{"X-Request-Id", Id}}, Body,
                              Random() % 4 == 0 ? 6 : 0, AnswerTimeout);
    std::string Text = Got.m_text;
    for (unsigned Try = 0;
         Try < 5 && !Got.m_done && !Got.m_error && !Got.m_lastId.empty();
         ++Try) {
      std::string LastId = Got.m_lastId;
      Got = stream(pick(Random).m_url,
                   {{"X-Request-Id", Id}, {"Last-Event-ID", LastId}}, Body, 0,
                   AnswerTimeout);
      Text += Got.m_text;
      if (Got.m_lastId.empty())
        Got.m_lastId = LastId;
      if (!Got.m_done)
        std::this_thread::sleep_for(TryPause);
    }
    CallerOutcome Outcome = CallerOutcome::Unknown;
    if (Got.m_done)
      Outcome = CallerOutcome::Ran;
    else if (Text.empty())
      Outcome = outcomeOf(Got.m_head);
    responded(Id, "", Outcome, Got.m_done ? Text : "");
  }

  static std::string model(std::mt19937 &Random) {
    constexpr std::array<const char *, 5> Names = {
        "plain-questions", "condition-report", "archive-summary",
        "plain-questions-skye", "tension-notes"};
    return Names[Random() % Names.size()];
  }

  // ---- Operators ----

  void operate() {
    std::mt19937 Random(m_options.m_seed + 77);
    while (!m_finished) {
      std::this_thread::sleep_for(Milliseconds(800 + Random() % 800));
      std::thread Other([this, Seed = Random()] { edit(Seed); });
      edit(Random());
      Other.join();
    }
  }

  void edit(unsigned Seed) {
    std::mt19937 Random(Seed);
    unsigned Daemon = Random() % m_cluster.daemons().size();
    auto [Status, Text] = m_cluster.operate(Daemon, "GET", "/config");
    Json Current = Json::parse(Text, nullptr, false);
    if (Status != 200 || !Current.is_object())
      return;
    Json Document = Current["document"];
    Document["models"]["plain-questions"]["min_replicas"] = 2 + Random() % 2;
    Document["callers"][fmt::format("edit-{}", Seed)] = {{"rank", "batch"}};
    auto Applied = m_cluster.apply(
        Daemon, Current["accepted"].get<std::uint64_t>(), Document.dump());
    if (Applied.first != 200)
      return;
    HistoryEvent Event;
    Event.m_kind = HistoryKind::ConfigurationAccepted;
    Event.m_value = Json::parse(Applied.second)["revision"];
    m_out.record(Event);
  }

  void watch() {
    while (!m_finished) {
      for (unsigned D = 0; D < m_cluster.daemons().size(); ++D) {
        if (now() < judgedFrom(D))
          continue;
        HistoryEvent Event;
        auto [Status, Text] = m_cluster.operate(D, "GET", "/status");
        Json Body = Json::parse(Text, nullptr, false);
        // A fault that began during the call makes its answer say nothing.
        if (Status != 200 || !Body.is_object() || now() < judgedFrom(D))
          continue;
        Event.m_kind = HistoryKind::ConfigurationSeen;
        Event.m_subject = m_cluster.daemons()[D].m_name;
        Event.m_value = Body.value("revision", 0ULL);
        m_out.record(Event);
      }
      std::this_thread::sleep_for(Milliseconds(200));
    }
  }

  TimePoint judgedFrom(unsigned Daemon) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    return m_judgedFrom[Daemon];
  }

  void judgeFrom(unsigned Daemon, TimePoint From) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_judgedFrom[Daemon] = From;
  }

  // ---- Faults ----

  void faulted(const std::string &Kind) {
    HistoryEvent Event;
    Event.m_kind = HistoryKind::Fault;
    Event.m_subject = Kind;
    m_out.record(Event);
  }

  void inject() {
    std::mt19937 Random(m_options.m_seed + 999);
    for (unsigned I = 0; I < m_options.m_faults && !m_finished; ++I) {
      std::this_thread::sleep_for(Milliseconds(300 + Random() % 900));
      injectOne(Random);
    }
  }

  void injectOne(std::mt19937 &Random) {
    unsigned Daemon = Random() % m_cluster.daemons().size();
    std::string Engine = fmt::format("engine-{}", 1 + Random() % 9);
    std::string Endpoint = "/endpoints/" + Engine;
    switch (Random() % 9) {
    case 0:
      faulted("daemon_killed");
      judgeFrom(Daemon, TimePoint::max());
      m_cluster.kill(Daemon);
      std::this_thread::sleep_for(Milliseconds(Random() % 1000));
      m_cluster.restart(Daemon);
      m_cluster.waitReady(Daemon, 20);
      judgeFrom(Daemon, now() + JudgeDelay);
      break;
    case 1:
      faulted("daemon_paused");
      judgeFrom(Daemon, TimePoint::max());
      m_cluster.signal(Daemon, SIGSTOP);
      std::this_thread::sleep_for(Milliseconds(2000 + Random() % 4000));
      m_cluster.signal(Daemon, SIGCONT);
      judgeFrom(Daemon, now() + JudgeDelay);
      break;
    case 2:
      faulted("store_outage");
      m_cluster.control("/kv/faults", R"({"outage":true})");
      std::this_thread::sleep_for(Milliseconds(1000 + Random() % 4000));
      m_cluster.control("/kv/faults", R"({"outage":false})");
      break;
    case 3:
      faulted("store_lost_answers");
      m_cluster.control("/kv/faults", R"({"lose_answers":5})");
      break;
    case 4:
      faulted("orders_lost_late_doubled");
      m_cluster.control(Endpoint + "/faults",
                        R"({"lost_orders":1,"late_orders":1,)"
                        R"("doubled_orders":1,"order_delay_ms":3000})");
      break;
    case 5:
      faulted("silent_streams");
      m_cluster.control(
          Endpoint + "/faults",
          fmt::format(R"({{"silent_streams":{}}})", ++m_silences));
      break;
    case 6:
      faulted("disturbed_streams");
      m_cluster.control(Endpoint + "/faults",
                        R"({"crossed":2,"duplicate":2,"late":2,"truncate":2})");
      break;
    case 7:
      faulted("region_cut");
      m_cluster.cutRegion(Daemon % 3);
      // Shorter and longer than the time after which a member without contact
      // owns no journal shard.
      std::this_thread::sleep_for(Milliseconds(3000 + Random() % 15000));
      m_cluster.healRegions();
      break;
    default:
      faulted("engine_killed");
      m_cluster.control(Endpoint + "/kill", "{}");
      std::this_thread::sleep_for(Milliseconds(500 + Random() % 1500));
      m_cluster.control(Endpoint + "/restart", "{}");
    }
  }

  // ---- What the endpoints did ----

  void recordExecutions() {
    for (const auto &[Name, Times] : m_cluster.executions())
      for (unsigned I = 0; I < Times; ++I) {
        HistoryEvent Event;
        Event.m_kind = HistoryKind::Execution;
        auto Key = m_keys.find(Name);
        if (Key != m_keys.end()) {
          const KeyHistory &Known = Key->second;
          Event.m_key = Name;
          Event.m_requestId = Known.m_executedBy;
          Event.m_answer = Known.m_answer;
          // Executed, and every invocation was told that it was not.
          if (!Known.m_otherOutcomes && !Known.m_notRunIds.empty())
            Event.m_requestId = Known.m_notRunIds.back();
        } else if (auto Plain = m_expected.find(Name);
                   Plain != m_expected.end()) {
          Event.m_requestId = Name;
          Event.m_answer = Plain->second;
        }
        m_out.record(Event);
      }
  }

  void recordMemory() {
    Json Ledger = Json::parse(m_cluster.controlGet("/ledger"), nullptr, false);
    std::uint64_t Exceeded = 0;
    if (Ledger.is_object() && Ledger.contains("counters"))
      Exceeded = Ledger["counters"].value("flag.memory_exceeded", 0ULL);
    HistoryEvent Event;
    Event.m_kind = HistoryKind::Memory;
    Event.m_subject = "all engines";
    Event.m_value = Exceeded;
    m_out.record(Event);
  }

  const HistoryRunOptions &m_options;
  Cluster &m_cluster;
  HistoryRecorder &m_out;
  std::mutex m_mutex;
  std::map<std::string, KeyHistory> m_keys;
  std::map<std::string, std::string> m_expected; ///< By request id.
  std::vector<TimePoint> m_judgedFrom;
  std::atomic<bool> m_finished{false};
  unsigned m_silences = 0; ///< Used by the injector only.
};

} // namespace

Result<void> runHistory(const HistoryRunOptions &Options,
                        const std::string &Path) {
  ClusterOptions WithProxy = Options.m_cluster;
  WithProxy.m_proxyPeers = true;
  BOOST_OUTCOME_TRY(Processes, Cluster::start(WithProxy));
  BOOST_OUTCOME_TRY(Out, createHistoryRecorder(Path));
  Run(Options, *Processes, *Out).perform();
  return Out->close();
}

} // namespace primroseworks::faults
