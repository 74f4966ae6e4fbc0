// Rate-limited source of weights: loads start at a bounded rate and share a
// bounded throughput.
#ifndef PRIMROSE_STANDINS_WEIGHTSTORE_H
#define PRIMROSE_STANDINS_WEIGHTSTORE_H

#include "primrose-standins/ledger.h"
#include "primrose-standins/settings.h"

#include <functional>
#include <list>
#include <mutex>

namespace primroseworks::standins {

/// Thread safe; tick() moves it on.
class WeightStore {
public:
  WeightStore(WeightStoreSettings Settings, Ledger &Book)
      : m_settings(Settings), m_book(Book) {}
  /// Calls Done from tick() when the load is complete.
  void load(ArtifactKind Kind, std::function<void()> Done) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    const bool Adapter = Kind == ArtifactKind::Adapter;
    m_loads.push_back(
        {Kind,
         toMillis(Adapter ? m_settings.m_adapterTime : m_settings.m_loadTime),
         Adapter, std::move(Done)});
    if (Adapter)
      return;
    unsigned Requested = 0;
    unsigned Waiting = 0; // The new one is one of them.
    for (const Load &Each : m_loads) {
      Requested += Each.m_kind == ArtifactKind::Model ? 1 : 0;
      Waiting += Each.m_started ? 0 : 1;
    }
    m_book.peak("peak.model_loads_requested", Requested);
    if (Waiting > 1 || std::chrono::steady_clock::now() < m_nextStart)
      m_book.count("model_loads_over_rate");
  }
  void setSlowFactor(double Factor) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_slow = Factor;
  }
  void tick(TimePoint Now) {
    std::list<Load> Finished;
    {
      std::lock_guard<std::mutex> Lock(m_mutex);
      startModels(Now);
      const double Passed = toMillis(Now - m_last) / m_slow;
      m_last = Now;
      progress(ArtifactKind::Model, m_settings.m_concurrent, Passed, Finished);
      progress(ArtifactKind::Adapter, m_settings.m_adaptersConcurrent, Passed,
               Finished);
    }
    for (const Load &Each : Finished)
      Each.m_done();
  }

private:
  struct Load {
    ArtifactKind m_kind;
    double m_leftMillis; ///< At full speed.
    bool m_started;
    std::function<void()> m_done;
  };
  void startModels(TimePoint Now) {
    for (Load &Each : m_loads) {
      if (Each.m_started)
        continue;
      if (Now < m_nextStart)
        return;
      Each.m_started = true;
      m_book.count("model_loads");
      m_nextStart = Now + fromSeconds(1 / m_settings.m_loadsPerSecond);
    }
  }
  /// Loads beyond Limit slow all of them down in proportion.
  void progress(ArtifactKind Kind, unsigned Limit, double Passed,
                std::list<Load> &Finished) {
    unsigned Active = 0;
    for (const Load &Each : m_loads)
      Active += Each.m_kind == Kind && Each.m_started ? 1 : 0;
    m_book.peak("peak." + std::string(nameOf(ArtifactKindNames, Kind)) +
                    "_loads",
                Active);
    const double Step = Active > Limit ? Passed * Limit / Active : Passed;
    for (auto It = m_loads.begin(); It != m_loads.end();) {
      auto Next = std::next(It);
      if (It->m_kind == Kind && It->m_started &&
          (It->m_leftMillis -= Step) <= 0)
        Finished.splice(Finished.end(), m_loads, It);
      It = Next;
    }
  }

  const WeightStoreSettings m_settings;
  Ledger &m_book;
  std::mutex m_mutex; ///< Guards the members below.
  std::list<Load> m_loads;
  TimePoint m_last = std::chrono::steady_clock::now();
  TimePoint m_nextStart;
  double m_slow = 1;
};

} // namespace primroseworks::standins

#endif
