// Fake fleet for tests: several dispatchers over the same engines, advanced in
// steps of simulated time. Engines batch continuously; their token gap grows
// with the batch, and their reports lag.
#ifndef PRIMROSEWORKS_LIBDISPATCH_FLEET_FAKE_H
#define PRIMROSEWORKS_LIBDISPATCH_FLEET_FAKE_H

#include "primroseworks/dispatcher.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <random>

namespace primroseworks::pvt {

/// One sequence at a fake engine.
struct FakeSequence {
  std::string m_id;
  std::size_t m_daemon = 0;
  Rank m_rank = Rank::Standard;
  double m_prefillLeft = 0; ///< Tokens.
  double m_tokensLeft = 0;
  unsigned m_tokens = 0;
  unsigned m_prompt = 0;
  bool m_first = false;
};

struct FakeEngine {
  std::string m_name;
  std::vector<std::string> m_models;
  unsigned m_maxBatch = 64;
  double m_gapBase = 10; ///< ms.
  double m_gapPerSequence = 0.6;
  double m_prefillSpeed = 10000; ///< Tokens per second.
  std::vector<FakeSequence> m_running;
  std::vector<FakeSequence> m_queue;
  std::uint64_t m_sequence = 0;
  std::size_t m_mostTogether = 0;

  double gap() const {
    return m_gapBase + m_gapPerSequence * static_cast<double>(m_running.size());
  }
  LoadReport report() {
    LoadReport R;
    R.m_sequence = ++m_sequence;
    R.m_runId = 1;
    R.m_running = static_cast<unsigned>(m_running.size());
    R.m_queued = static_cast<unsigned>(m_queue.size());
    R.m_maxBatch = m_maxBatch;
    R.m_prefillTokensPerSecond = m_prefillSpeed;
    R.m_tokenGapMillis = m_running.empty() ? 0 : gap();
    for (const auto *List : {&m_running, &m_queue})
      for (const FakeSequence &S : *List)
        R.m_queuedPromptTokens += static_cast<std::uint64_t>(S.m_prefillLeft);
    for (const std::string &M : m_models)
      R.m_resident.push_back({{ArtifactKind::Model, M, "1"}, 1});
    return R;
  }
};

/// Outcomes of one rank.
struct FakeTally {
  unsigned m_submitted = 0;
  unsigned m_granted = 0;
  unsigned m_refused = 0;
  unsigned m_completed = 0;
  unsigned m_attained = 0; ///< First token and mean gap within the targets.
  double m_tokens = 0;
  double attainment() const {
    return m_submitted == 0 ? 1 : static_cast<double>(m_attained) / m_submitted;
  }
};

class FakeFleet {
public:
  Milliseconds m_reportInterval{250};
  Milliseconds m_reportLag{200};
  TimePoint m_now{Seconds(1000)};
  std::vector<FakeEngine> m_engines;
  std::vector<std::unique_ptr<Dispatcher>> m_daemons;
  std::array<FakeTally, RankCount> m_tally;
  std::map<std::string, FakeTally> m_byCaller;
  std::mt19937_64 m_random{1};
  bool m_resume = true; ///< Submit preempted requests again.
  /// Answers carry the load at their end to the daemon that relayed them.
  bool m_reportAtEnd = true;

  FakeFleet(std::size_t Daemons, const Catalog &C, std::uint64_t Seed = 1)
      : m_random(Seed) {
    for (std::size_t I = 0; I < Daemons; ++I) {
      DispatcherOptions Options;
      Options.m_region = "here";
      Options.m_seed = Seed * 100 + I;
      m_daemons.push_back(std::move(createDispatcher(Options)).value());
      m_daemons.back()->setCatalog(std::make_shared<Catalog>(C), m_now);
    }
  }

  void addEngine(FakeEngine E) {
    for (auto &D : m_daemons) {
      D->setEndpoint({E.m_name, "here", "d", EndpointState::Live}, m_now);
      D->onReport(E.m_name, E.report(), m_now);
    }
    m_engines.push_back(std::move(E));
  }

  void submit(std::size_t Daemon, Rank R, const std::string &Model,
              unsigned Prompt, unsigned Tokens, Duration Deadline,
              const std::string &Caller = "caller") {
    DispatchRequest Q;
    Q.m_id = std::to_string(m_nextId++);
    Q.m_caller = Caller;
    Q.m_model = Model;
    Q.m_version = "1";
    Q.m_rank = R;
    Q.m_promptTokens = Prompt;
    Q.m_maxTokens = Tokens;
    Q.m_deadline = m_now + Deadline;
    Pending P;
    P.m_request = Q;
    P.m_submitted = m_now;
    m_pending[Q.m_id] = P;
    if (counted(P)) {
      ++m_tally[static_cast<std::size_t>(R)].m_submitted;
      ++m_byCaller[Caller].m_submitted;
    }
    m_daemons[Daemon]->submit(Q, m_now);
  }

  /// Submits each request kind with its rate to random daemons for Length.
  struct Stream {
    Rank m_rank;
    std::string m_model;
    double m_perSecond;
    unsigned m_prompt = 200;
    unsigned m_tokens = 100;
    Duration m_deadline = Seconds(3);
    std::string m_caller = "caller";
  };
  void run(const std::vector<Stream> &Streams, Duration Length) {
    for (TimePoint End = m_now + Length; m_now < End;) {
      for (const Stream &S : Streams) {
        std::poisson_distribution<int> Arrivals(S.m_perSecond *
                                                toSeconds(Step));
        for (int N = Arrivals(m_random); N > 0; --N)
          submit(m_random() % m_daemons.size(), S.m_rank, S.m_model, S.m_prompt,
                 S.m_tokens, S.m_deadline, S.m_caller);
      }
      step();
    }
  }

  void step() {
    for (std::size_t I = 0; I < m_daemons.size(); ++I)
      apply(I, m_daemons[I]->poll(m_now));
    for (FakeEngine &E : m_engines)
      advance(E);
    m_now += Step;
    exchangeReports();
  }

  /// Runs the streams and counts the requests submitted in this time; tokens
  /// count by the end of their request. Goes on until the counted ones ended.
  void measure(const std::vector<Stream> &Streams, Duration Length,
               Duration After = Seconds(10)) {
    m_tally = {};
    m_byCaller.clear();
    m_counting = m_now;
    m_countingEnd = m_now + Length;
    run(Streams, Length + After);
  }
  const FakeTally &tally(Rank R) const {
    return m_tally[static_cast<std::size_t>(R)];
  }

private:
  static constexpr Milliseconds Step{5};
  struct Pending {
    DispatchRequest m_request;
    TimePoint m_submitted{};
    TimePoint m_firstToken{};
  };
  struct Sent {
    TimePoint m_arrives;
    std::size_t m_engine;
    LoadReport m_report;
  };

  bool counted(const Pending &P) const {
    return P.m_submitted >= m_counting && P.m_submitted < m_countingEnd;
  }

  void apply(std::size_t Daemon, const Decisions &Got) {
    for (const Grant &G : Got.m_grants) {
      const Pending &P = m_pending.at(G.m_requestId);
      auto E = std::find_if(
          m_engines.begin(), m_engines.end(),
          [&](const FakeEngine &X) { return X.m_name == G.m_endpoint; });
      FakeSequence S;
      S.m_id = G.m_requestId;
      S.m_daemon = Daemon;
      S.m_rank = P.m_request.m_rank;
      S.m_prefillLeft = P.m_request.m_promptTokens;
      S.m_prompt = P.m_request.m_promptTokens;
      S.m_tokensLeft = P.m_request.m_maxTokens;
      E->m_queue.push_back(S);
      if (counted(P))
        ++m_tally[static_cast<std::size_t>(S.m_rank)].m_granted;
    }
    for (const Refusal &R : Got.m_refusals) {
      auto It = m_pending.find(R.m_requestId);
      if (counted(It->second)) {
        ++m_tally[static_cast<std::size_t>(It->second.m_request.m_rank)]
              .m_refused;
        ++m_byCaller[It->second.m_request.m_caller].m_refused;
      }
      m_pending.erase(It);
    }
    for (const Preemption &P : Got.m_preemptions)
      cancel(P.m_requestId, Daemon);
  }

  void cancel(const std::string &Id, std::size_t Daemon) {
    for (FakeEngine &E : m_engines)
      for (auto *List : {&E.m_running, &E.m_queue})
        for (auto It = List->begin(); It != List->end(); ++It) {
          if (It->m_id != Id)
            continue;
          Pending &P = m_pending.at(Id);
          P.m_request.m_maxTokens =
              std::max(1U, static_cast<unsigned>(It->m_tokensLeft));
          P.m_request.m_promptTokens = It->m_prompt + It->m_tokens;
          countTokens(P, It->m_tokens);
          List->erase(It);
          m_daemons[Daemon]->onFinished(Id, AttemptOutcome::Cancelled, nullptr,
                                        m_now);
          if (m_resume)
            m_daemons[Daemon]->submit(P.m_request, m_now);
          return;
        }
  }

  void advance(FakeEngine &E) {
    std::stable_sort(E.m_queue.begin(), E.m_queue.end(),
                     [](const FakeSequence &A, const FakeSequence &B) {
                       return A.m_rank < B.m_rank;
                     });
    while (!E.m_queue.empty() && E.m_running.size() < E.m_maxBatch) {
      E.m_running.push_back(E.m_queue.front());
      E.m_queue.erase(E.m_queue.begin());
    }
    E.m_mostTogether =
        std::max(E.m_mostTogether, E.m_running.size() + E.m_queue.size());
    double Prefill = E.m_prefillSpeed * toSeconds(Step);
    double Decoded = toMillis(Step) / E.gap();
    for (std::size_t I = 0; I < E.m_running.size();) {
      FakeSequence &S = E.m_running[I];
      double Used = std::min(Prefill, S.m_prefillLeft);
      Prefill -= Used;
      S.m_prefillLeft -= Used;
      if (S.m_prefillLeft > 0 || !produce(S, Decoded)) {
        ++I;
        continue;
      }
      std::size_t Daemon = S.m_daemon;
      E.m_running.erase(E.m_running.begin() + static_cast<std::ptrdiff_t>(I));
      if (m_reportAtEnd)
        m_daemons[Daemon]->onReport(E.m_name, E.report(), m_now);
    }
  }

  /// Returns true when the sequence is complete.
  bool produce(FakeSequence &S, double Tokens) {
    Pending &P = m_pending.at(S.m_id);
    if (!S.m_first) {
      S.m_first = true;
      if (P.m_firstToken == TimePoint{})
        P.m_firstToken = m_now;
      m_daemons[S.m_daemon]->onFirstToken(S.m_id, m_now);
    }
    S.m_tokensLeft -= Tokens;
    S.m_tokens = P.m_request.m_maxTokens -
                 static_cast<unsigned>(std::max(0.0, S.m_tokensLeft));
    if (S.m_tokensLeft > 0)
      return false;
    StreamEnd End;
    End.m_tokens = P.m_request.m_maxTokens;
    End.m_promptTokens = S.m_prompt;
    m_daemons[S.m_daemon]->onFinished(S.m_id, AttemptOutcome::Completed, &End,
                                      m_now);
    finish(P, End.m_tokens);
    m_pending.erase(S.m_id);
    return true;
  }

  void countTokens(const Pending &P, unsigned Tokens) {
    if (m_now < m_counting || m_now >= m_countingEnd)
      return;
    m_tally[static_cast<std::size_t>(P.m_request.m_rank)].m_tokens += Tokens;
    m_byCaller[P.m_request.m_caller].m_tokens += Tokens;
  }

  void finish(const Pending &P, unsigned Tokens) {
    double Gap = toMillis(m_now - P.m_firstToken) / Tokens;
    FakeTally &T = m_tally[static_cast<std::size_t>(P.m_request.m_rank)];
    countTokens(P, Tokens);
    if (!counted(P))
      return;
    ++T.m_completed;
    ++m_byCaller[P.m_request.m_caller].m_completed;
    if (P.m_firstToken - P.m_submitted <= Milliseconds(1500) && Gap <= 40) {
      ++T.m_attained;
      ++m_byCaller[P.m_request.m_caller].m_attained;
    }
  }

  void exchangeReports() {
    for (std::size_t I = 0; I < m_engines.size(); ++I) {
      auto Phase = m_reportInterval * static_cast<int>(I) /
                   static_cast<int>(m_engines.size());
      Duration SinceTurn =
          (m_now.time_since_epoch() + Phase) % m_reportInterval;
      if (SinceTurn < Step)
        m_reports.push_back({m_now + m_reportLag, I, m_engines[I].report()});
    }
    while (!m_reports.empty() && m_reports.front().m_arrives <= m_now) {
      for (auto &D : m_daemons)
        D->onReport(m_engines[m_reports.front().m_engine].m_name,
                    m_reports.front().m_report, m_now);
      m_reports.pop_front();
    }
  }

  std::map<std::string, Pending> m_pending;
  std::deque<Sent> m_reports;
  TimePoint m_counting{};
  TimePoint m_countingEnd = TimePoint::max();
  unsigned m_nextId = 1;
};

} // namespace primroseworks::pvt

#endif
