// Arrivals on one thread, calls on a growing set of threads.
#include "primrose-load/run.h"

#include <condition_variable>
#include <deque>
#include <fmt/format.h>
#include <thread>

namespace primroseworks::load {
namespace {

/// How often a waiting thread looks at Stop.
constexpr Milliseconds StopInterval{50};

struct DueCall {
  Arrival m_what;
  TimePoint m_due;
};

class Callers {
public:
  Callers(std::vector<std::unique_ptr<pvt::HttpClient>> Daemons,
          const RunOptions &Options, Report &Into,
          const std::atomic<bool> &Stop)
      : m_daemons(std::move(Daemons)), m_options(Options), m_report(Into),
        m_stop(Stop) {}
  ~Callers() { finish(); }
  Callers(const Callers &) = delete;
  Callers &operator=(const Callers &) = delete;

  void start(DueCall Call) {
    std::unique_lock<std::mutex> Lock(m_mutex);
    if (m_inFlight >= m_options.m_maxInFlight) {
      Lock.unlock();
      CallRecord Shed;
      Shed.m_rank = Call.m_what.m_kind.m_rank;
      Shed.m_outcome = CallOutcome::Shed;
      m_report.add(Shed);
      return;
    }
    ++m_inFlight;
    m_due.push_back(std::move(Call));
    if (m_inFlight > m_threads.size())
      m_threads.emplace_back([this] { work(); });
    m_wake.notify_one();
  }
  unsigned inFlight() const {
    std::lock_guard<std::mutex> Lock(m_mutex);
    return m_inFlight;
  }
  void finish() {
    {
      std::lock_guard<std::mutex> Lock(m_mutex);
      m_end = true;
    }
    m_wake.notify_all();
    for (std::thread &Each : m_threads)
      if (Each.joinable())
        Each.join();
  }

private:
  void work() {
    for (;;) {
      DueCall Call;
      {
        std::unique_lock<std::mutex> Lock(m_mutex);
        m_wake.wait(Lock, [this] { return m_end || !m_due.empty(); });
        if (m_due.empty())
          return;
        Call = std::move(m_due.front());
        m_due.pop_front();
      }
      m_report.add(callOnce(*m_daemons[Call.m_what.m_target], Call.m_what,
                            Call.m_due, m_options.m_callTimeout, m_stop));
      std::lock_guard<std::mutex> Lock(m_mutex);
      --m_inFlight;
    }
  }

  const std::vector<std::unique_ptr<pvt::HttpClient>> m_daemons;
  const RunOptions &m_options;
  Report &m_report;
  const std::atomic<bool> &m_stop;
  mutable std::mutex m_mutex; ///< Guards the members below.
  std::condition_variable m_wake;
  std::deque<DueCall> m_due;
  std::size_t m_inFlight = 0;
  bool m_end = false;
  std::vector<std::thread> m_threads; ///< Grown by start() alone.
};

} // namespace

Result<Duration> run(const RunOptions &Options, Report &Into,
                     const std::function<void(const std::string &)> &Progress,
                     const std::atomic<bool> &Stop) {
  std::vector<std::unique_ptr<pvt::HttpClient>> Daemons;
  for (const std::string &Url : Options.m_urls) {
    BOOST_OUTCOME_TRY(Client, pvt::createHttpClient(Url));
    Daemons.push_back(std::move(Client));
  }
  if (Daemons.empty())
    return makeError(ErrorKind::InvalidArgument, "no daemon; pass --url URL");
  Plan Arrivals(Options.m_mix, Daemons.size());
  Callers All(std::move(Daemons), Options, Into, Stop);
  const TimePoint Start = std::chrono::steady_clock::now();
  TimePoint NextLine = Start + Seconds(1);
  std::uint64_t Sent = 0;
  // Waits for Until or, without it, for the end of all calls.
  const auto Wait = [&](std::optional<TimePoint> Until) {
    for (;;) {
      const TimePoint Now = std::chrono::steady_clock::now();
      if (Now >= NextLine) {
        NextLine += Seconds(1);
        Progress(fmt::format("t={:.0f}s sent={} in_flight={} {}",
                             toSeconds(Now - Start), Sent, All.inFlight(),
                             Into.progress()));
      }
      if (Stop || (Until ? Now >= *Until : All.inFlight() == 0))
        return;
      const TimePoint Step = Now + StopInterval;
      std::this_thread::sleep_until(Until ? std::min(*Until, Step) : Step);
    }
  };
  while (!Stop && Sent < Options.m_maxCalls) {
    Arrival Next = Arrivals.next();
    if (Next.m_at > Options.m_maxTime)
      break;
    const TimePoint Due = Start + Next.m_at;
    Wait(Due);
    if (Stop)
      break;
    All.start({std::move(Next), Due});
    ++Sent;
  }
  Wait(std::nullopt);
  All.finish();
  return std::chrono::steady_clock::now() - Start;
}

} // namespace primroseworks::load
