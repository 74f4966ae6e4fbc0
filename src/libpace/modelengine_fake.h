// Model of an engine for the tests: one processor that alternates between the
// prefill of one prompt and a decode step of its batch.
#ifndef PRIMROSEWORKS_LIBPACE_MODELENGINE_FAKE_H
#define PRIMROSEWORKS_LIBPACE_MODELENGINE_FAKE_H

#include "primroseworks/time.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <vector>

namespace primroseworks {

class ModelEngine {
public:
  static constexpr unsigned Slots = 12;
  static constexpr unsigned PromptTokens = 1460;
  static constexpr double PrefillMsPerToken = 0.052;
  static constexpr double StepMs = 9;
  static constexpr double StepMsPerSequence = 0.5;
  static constexpr double SlowFactor = 3;

  using OnFirst = std::function<void(unsigned Request)>;
  /// LongestGap: between two events of the answer.
  using OnLast = std::function<void(unsigned Request, Duration LongestGap)>;

  /// Until Time, all work takes SlowFactor times as long.
  void slowUntil(TimePoint Time) { m_slowUntil = Time; }
  void add(unsigned Request, unsigned OutputTokens) {
    m_prompts.push_back({Request, OutputTokens, {}, {}});
  }
  /// Ends all work without answers.
  void restart(TimePoint Now) {
    m_prompts.clear();
    m_batch.clear();
    m_busyUntil = Now;
    m_prefilling = false;
  }
  /// Runs until Now. First is called for the first event of each request, Last
  /// for its end.
  void run(TimePoint Now, const OnFirst &First, const OnLast &Last) {
    for (;;) {
      if (m_busyUntil > Now)
        return;
      finishWork(First, Last);
      if (!beginWork(Now))
        return;
    }
  }

private:
  struct Sequence {
    unsigned m_request = 0;
    unsigned m_tokensLeft = 0;
    TimePoint m_lastEventAt{};
    Duration m_longestGap{};
  };
  void finishWork(const OnFirst &First, const OnLast &Last) {
    if (m_prefilling) {
      m_batch.push_back(m_prompts.front());
      m_prompts.pop_front();
      m_batch.back().m_lastEventAt = m_busyUntil;
      First(m_batch.back().m_request);
    } else if (m_decoding) {
      std::vector<Sequence> Rest;
      for (Sequence S : m_batch) {
        S.m_longestGap =
            std::max(S.m_longestGap, m_busyUntil - S.m_lastEventAt);
        S.m_lastEventAt = m_busyUntil;
        if (--S.m_tokensLeft > 0)
          Rest.push_back(S);
        else
          Last(S.m_request, S.m_longestGap);
      }
      m_batch = Rest;
    }
    m_wasPrefill = m_prefilling;
    m_prefilling = m_decoding = false;
  }
  bool beginWork(TimePoint Now) {
    const bool MayPrefill = !m_prompts.empty() && m_batch.size() < Slots;
    double Ms = 0;
    if (MayPrefill && (!m_wasPrefill || m_batch.empty())) {
      m_prefilling = true;
      Ms = PrefillMsPerToken * PromptTokens;
    } else if (!m_batch.empty()) {
      m_decoding = true;
      Ms = StepMs + StepMsPerSequence * static_cast<double>(m_batch.size());
    } else {
      return false;
    }
    const TimePoint From =
        m_busyUntil + Milliseconds(1) < Now ? Now : m_busyUntil;
    m_busyUntil =
        From + fromSeconds(Ms * (From < m_slowUntil ? SlowFactor : 1) / 1000);
    return true;
  }

  std::deque<Sequence> m_prompts; ///< Not prefilled yet.
  std::vector<Sequence> m_batch;
  TimePoint m_busyUntil{};
  TimePoint m_slowUntil{};
  bool m_prefilling = false;
  bool m_decoding = false;
  bool m_wasPrefill = false;
};

} // namespace primroseworks

#endif
