// Phases of the soak.
#include "soak.h"

#include "libgateway/connections.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <iostream>

namespace primroseworks::soak {

namespace {

using namespace platform::testing;
namespace wire = platform::wire;
using std::chrono::milliseconds;

constexpr milliseconds RestartPause{300};
/// Bounds of the users' deployments.
constexpr milliseconds ConfigurationLimit{2500};
constexpr milliseconds StopLimit{8000};
constexpr milliseconds RecoverLimit{12000};
/// Part of the requests that must succeed once all faults are over.
constexpr double ServedShare = 0.95;
constexpr milliseconds ServedSpan{1500};
/// Entries of servers come back within this time after an outage.
constexpr milliseconds EntryPause{2000};
/// Part of the streams in which a sound endpoint is silent for a while.
constexpr double BaseSilences = 0.02;
/// Part of the continuations that get an error while faults are drawn.
constexpr double ContinuationErrors = 0.3;
/// First letter of the ids of requests that end the endpoints which run them.
constexpr char CrashingPrefix = 'g';
/// The same of requests with a part of a prompt that ends endpoints.
constexpr char CrashingPartPrefix = 'x';
/// Such requests at once, and times that they are sent.
constexpr unsigned CrashingCopies = 2;
constexpr unsigned CrashingRounds = 12;
constexpr milliseconds CrashingPause{300};
/// Requests at once that get bytes without end, and for how long endpoints send
/// them.
constexpr unsigned EndlessRequests = 48;
constexpr milliseconds EndlessTime{1500};
/// Number of the engines that are plain services; they come first.
constexpr unsigned PlainEngines = 3;
/// Rounds in which sound endpoints fall silent, and their length.
constexpr unsigned SilenceRounds = 4;
constexpr milliseconds SilenceRound{2300};
constexpr milliseconds SilencePause{800};
constexpr milliseconds ShortestSilence{500};
constexpr milliseconds LongestSilence{2000};
/// Shortest of silences after which endpoints refuse what they were sent late.
constexpr milliseconds LateSilence{1600};
/// Ends under one request, one after the other.
constexpr unsigned MaxEnds = 3;

} // namespace

Soak::Soak(SoakOptions Options)
    : m_options(std::move(Options)), m_random(m_options.m_seed), m_store(m_io),
      m_partRandom(m_options.m_seed), m_silenceRandom(m_options.m_seed),
      m_restoreRandom(m_options.m_seed) {
  std::filesystem::create_directories(m_options.m_folder);
  m_baseFaults.m_silenceProbability = BaseSilences;
  const std::string Net =
      fmt::format("127.{}.{}.", 16 + m_options.m_subnet % 200,
                  m_options.m_subnet / 200 % 250);
  m_store.listen(Net + "200");
  putConfiguration();
  const std::vector<std::vector<std::string>> Held = {
      {}, {}, {}, {"m1", "m2"}, {"m1"}, {"m2", "m3"}, {"m1", "m3"}};
  for (unsigned I = 0; I < Held.size(); ++I) {
    const EngineSetup Setup{Held[I].empty() ? "plain" : "model",
                            'd' + std::to_string(1 + I % 3), Held[I], I};
    const auto OnRun = [this](const std::string &Id, const std::string &At,
                              bool Draining) {
      m_check.onRun(Id, At);
      if (Id[0] == CrashingPrefix || Id[0] == CrashingPartPrefix)
        endUnderRequest(At);
      if (Draining && m_drainOver)
        m_check.violation(Id + " ran at " + At + ", which drains");
    };
    m_engines.push_back(std::make_unique<EngineStandin>(
        m_io, m_store, Setup, OnRun, m_options.m_seed * 100 + I));
    m_engines.back()->m_observer = &m_notices;
    m_engines.back()->m_faults = m_baseFaults;
    m_engines.back()->listen(Net + "200");
    m_engineLinks.push_back(std::make_unique<Proxy>(
        m_io, Net + "200", m_engines.back()->address()));
    m_engines.back()->start(m_engineLinks.back()->address());
  }
  for (unsigned I = 0; I < m_options.m_gateways; ++I) {
    m_storeLinks.push_back(
        std::make_unique<Proxy>(m_io, Net + "200", m_store.address()));
    m_gateways.push_back(std::make_unique<GatewayProcess>(GatewaySetup{
        m_options.m_program, m_options.m_folder, "vm-" + std::to_string(I + 1),
        Net + std::to_string(I + 1), 'd' + std::to_string(1 + I % 3),
        m_storeLinks.back()->address()}));
  }
  m_callers = std::make_unique<Callers>(
      m_io, CallerChecks{m_check, m_notices, m_idleTimeout}, m_gateways,
      m_options.m_seed + 7);
}

void Soak::note(const std::string &Text) {
  if (!Text.empty())
    std::cout << "  " << Text << std::endl;
}

void Soak::start(asio::awaitable<void> Task) {
  asio::co_spawn(m_io, std::move(Task), asio::detached);
}

asio::awaitable<void> Soak::pause(Milliseconds Time) {
  asio::steady_timer Timer(m_io, Time);
  std::error_code Ignored;
  co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
}

asio::awaitable<void> Soak::watchProcesses() {
  while (!m_done) {
    for (const auto &P : m_gateways) {
      const ProcessEnd End = P->poll();
      if (End == ProcessEnd::Running)
        continue;
      if (End == ProcessEnd::Failed)
        m_check.violation(P->name() + " ended by itself: " + P->endText());
      if (!m_keepRunning)
        continue;
      GatewayProcess *Ended = P.get();
      start(applyFor([] {},
                     [this, Ended] {
                       m_notices.onInterruption(Ended->name());
                       Ended->start();
                     },
                     RestartPause));
    }
    co_await pause(Milliseconds(20));
  }
}

asio::awaitable<void> Soak::applyFor(std::function<void()> Begin,
                                     std::function<void()> End,
                                     Milliseconds Time) {
  ++m_faultsInForce;
  Begin();
  co_await pause(Time);
  End();
  --m_faultsInForce;
}

asio::awaitable<void> Soak::injectFaults() {
  setContinuationErrors(ContinuationErrors);
  const auto End = Clock::now() + m_options.m_faultTime;
  while (Clock::now() < End) {
    // Some faults come at once, some in series.
    const unsigned Together = draw(4) == 0 ? 3 : 1;
    for (unsigned I = 0; I < Together; ++I)
      drawFault();
    co_await pause(Milliseconds(100 + draw(900)));
  }
  while (m_faultsInForce > 0)
    co_await pause(Milliseconds(20));
  setContinuationErrors(0);
}

asio::awaitable<void> Soak::checkRecovery() {
  const auto Begin = Clock::now();
  std::pair<unsigned, unsigned> Last;
  while (Clock::now() - Begin < RecoverLimit) {
    (void)m_check.takeEnded();
    co_await pause(ServedSpan);
    Last = m_check.takeEnded();
    if (Last.first > 0 && Last.second >= ServedShare * Last.first) {
      note(fmt::format(
          "served again after {:.1f} s",
          std::chrono::duration<double>(Clock::now() - Begin).count()));
      co_return;
    }
  }
  m_check.violation(fmt::format("no recovery: {} of {} attempts succeed",
                                Last.second, Last.first));
}

/// Silent of the Count endpoints from First on fall silent at the same moment,
/// each for a time of its own from Shortest to LongestSilence.
void Soak::silence(unsigned First, unsigned Count, unsigned Silent,
                   Milliseconds Shortest) {
  const auto Start = static_cast<unsigned>(m_silenceRandom() % Count);
  const auto Spread =
      static_cast<std::uint64_t>((LongestSilence - Shortest).count());
  for (unsigned I = 0; I < Silent; ++I)
    m_engines[First + (Start + I) % Count]->fallSilent(
        Shortest + Milliseconds(m_silenceRandom() % Spread));
}

/// One, half or all of the endpoints from First on fall silent.
void Soak::drawSilence(unsigned First, unsigned Count) {
  const unsigned Choices[] = {1, (Count + 1) / 2, Count};
  silence(First, Count, Choices[m_silenceRandom() % std::size(Choices)],
          ShortestSilence);
}

/// Endpoints fall silent and go on while other faults are in force.
asio::awaitable<void> Soak::drawSilences() {
  const auto Models = static_cast<unsigned>(m_engines.size()) - PlainEngines;
  while (m_drawingSilences) {
    co_await pause(Milliseconds(500 + m_silenceRandom() % 2500));
    if (m_silenceRandom() % 2 == 0)
      drawSilence(0, PlainEngines);
    else
      drawSilence(PlainEngines, Models);
  }
}

/// Silences of sound endpoints beside a change of the configuration cut no
/// request, although the endpoints that are asked instead refuse, silent ones
/// late.
asio::awaitable<void> Soak::checkSilences() {
  const auto Models = static_cast<unsigned>(m_engines.size()) - PlainEngines;
  for (unsigned Round = 0; Round < SilenceRounds; ++Round) {
    co_await pause(SilencePause); // Streams begin.
    EngineFaults Refuses = m_baseFaults;
    Refuses.m_rejectProbability = 1;
    for (unsigned I = 0; I < Models; ++I)
      setEngineFaults(*m_engines[PlainEngines + I], Refuses, SilenceRound);
    note("sound endpoints fall silent and refuse");
    drawSilence(0, PlainEngines);
    silence(PlainEngines, Models, Models, LateSilence);
    ++m_version;
    putConfiguration();
    co_await pause(SilenceRound);
  }
}

/// A new route works, and stays, at every gateway.
asio::awaitable<void> Soak::checkConfiguration() {
  m_extraRoutes += 1;
  m_version += 1;
  drawIdleTimeout();
  putConfiguration();
  co_await pause(ConfigurationLimit);
  const std::string Path = "/extra" + std::to_string(m_extraRoutes - 1) + "/x";
  for (const auto &P : m_gateways) {
    const std::string Address = P->callerAddress();
    const unsigned Status = co_await m_callers->probe(Address, Path);
    if (Status == 404 || Status == 0)
      m_check.violation(
          fmt::format("{} answers {} on a route of configuration {}", P->name(),
                      Status, m_version));
  }
}

/// An endpoint that drains gets nothing new after the limit.
asio::awaitable<void> Soak::checkDrain() {
  EngineStandin &E = *m_engines[draw(3)];
  E.drain();
  co_await pause(DrainLimit);
  m_drainOver = true;
  co_await pause(Milliseconds(700));
  m_drainOver = false;
  restartEngine(E);
}

asio::awaitable<unsigned> Soak::sendCrashing(std::string Address, char Prefix) {
  if (Prefix == CrashingPrefix)
    co_return co_await m_callers->probe(Address, "/read/crash", Prefix);
  const std::string Path = "/stream/x" + std::to_string(++m_crashingPaths);
  co_return co_await m_callers->probe(Address, Path, Prefix, "m1",
                                      m_deadlyPart);
}

asio::awaitable<void> Soak::startCrashing(std::string Address, char Prefix) {
  (void)co_await sendCrashing(Address, Prefix);
}

/// Sends requests with a part that ends endpoints while faults are in force.
asio::awaitable<void> Soak::sendDeadlyParts() {
  while (m_sendingDeadlyParts) {
    co_await pause(Milliseconds(200 + m_partRandom() % 1500));
    const auto Index = m_partRandom() % m_gateways.size();
    start(
        startCrashing(m_gateways[Index]->callerAddress(), CrashingPartPrefix));
  }
}

/// A request, or a part of a prompt, that ends each endpoint which runs it is
/// stopped by all gateways, and nothing else is refused with it.
asio::awaitable<void> Soak::checkCrashing(char Prefix) {
  m_endedUnderRequest.clear();
  const auto Gateway = [this](unsigned I) {
    return m_gateways[I % m_gateways.size()]->callerAddress();
  };
  for (unsigned Round = 0; Round < CrashingRounds; ++Round) {
    for (unsigned Copy = 0; Copy < CrashingCopies; ++Copy)
      start(startCrashing(Gateway(Round + Copy), Prefix));
    co_await pause(CrashingPause);
  }
  while (m_faultsInForce > 0)
    co_await pause(Milliseconds(20));
  const std::string Ended = fmt::format("{} endpoints ended under requests {}",
                                        m_endedUnderRequest.size(), Prefix);
  note(Ended);
  const unsigned Copies =
      Prefix == CrashingPrefix ? CrashingCopies - 1 : CrashingCopies;
  if (m_endedUnderRequest.size() > MaxEnds + Copies)
    m_check.violation(Ended);
  for (const auto &P : m_gateways) {
    const std::string Address = P->callerAddress();
    const unsigned Status = co_await sendCrashing(Address, Prefix);
    if (Status != 503)
      m_check.violation(
          fmt::format("{} answers {} to a request {} that ends endpoints",
                      P->name(), Status, Prefix));
  }
}

asio::awaitable<void> Soak::sendProbe(std::string Address) {
  (void)co_await m_callers->probe(Address, "/read/1");
}

/// All endpoints of the plain service send bytes without end to many requests
/// at once, most of them of one gateway. Its memory must suffice.
asio::awaitable<void> Soak::checkEndlessResponses() {
  const auto SetEndless = [this](double Probability) {
    for (unsigned I = 0; I < PlainEngines; ++I)
      m_engines[I]->m_faults.m_endlessProbability = Probability;
  };
  SetEndless(1);
  GatewayProcess &Target =
      *m_gateways[draw(static_cast<unsigned>(m_gateways.size()))];
  for (unsigned I = 0; I < EndlessRequests; ++I)
    start(sendProbe(Target.callerAddress()));
  co_await pause(EndlessTime);
  SetEndless(0);
}

/// Every gateway stops and starts again while callers go on.
asio::awaitable<void> Soak::checkRollingStop() {
  for (const auto &P : m_gateways) {
    P->signal(SIGTERM);
    const auto Begin = Clock::now();
    while (P->m_stopping && Clock::now() - Begin < StopLimit)
      co_await pause(Milliseconds(20));
    if (P->m_stopping)
      m_check.violation(P->name() + " did not stop in time");
    co_await pause(Milliseconds(600));
  }
}

asio::awaitable<void> Soak::play() {
  for (const auto &P : m_gateways)
    P->start();
  start(watchProcesses());
  co_await pause(Milliseconds(1500));
  m_callers->start(m_options.m_callers);
  co_await pause(Milliseconds(1000));
  m_sendingDeadlyParts = true;
  start(sendDeadlyParts());
  m_drawingSilences = true;
  start(drawSilences());
  m_drawingRestores = true;
  start(drawRestores());
  co_await injectFaults();
  m_drawingRestores = false;
  m_sendingDeadlyParts = false;
  m_drawingSilences = false;
  note("all faults are over");
  co_await checkRecovery();
  co_await checkCrashing(CrashingPrefix);
  co_await checkRecovery();
  m_deadlyPart = "dead2"; // The faults may have refused the other one.
  co_await checkCrashing(CrashingPartPrefix);
  co_await checkRecovery();
  co_await checkEndlessResponses();
  co_await checkRecovery();
  m_callers->m_calm = true;
  co_await checkSilences();
  co_await checkConfiguration();
  co_await checkDrain();
  co_await checkRollingStop();
  m_callers->m_calm = false;
  m_callers->stop();
  while (!m_callers->idle())
    co_await pause(Milliseconds(20));
  m_keepRunning = false;
  for (const auto &P : m_gateways)
    P->signal(SIGTERM);
  const auto Begin = Clock::now();
  const auto AnyRunning = [this] {
    for (const auto &P : m_gateways)
      if (P->running())
        return true;
    return false;
  };
  while (AnyRunning() && Clock::now() - Begin < StopLimit)
    co_await pause(Milliseconds(20));
  if (AnyRunning())
    m_check.violation("a gateway did not stop at the end");
  m_done = true;
  m_io.stop();
}

bool Soak::run() {
  std::cout << "seed " << m_options.m_seed << std::endl;
  start(play());
  m_io.run();
  for (const auto &E : m_engines)
    if (E->roomViolations() > 0)
      m_check.violation(E->id() + " was ordered to load without room for it");
  for (const auto &E : m_engines)
    if (E->formerEraOrders() > 0)
      m_check.violation(
          fmt::format("{} got {} orders under a claim that the store had lost",
                      E->id(), E->formerEraOrders()));
  for (const auto &E : m_engines)
    if (E->uncutResponses() > 0)
      m_check.violation(E->id() + " could send bytes without end");
  m_check.finish();
  static const std::pair<Verdict, const char *> Names[] = {
      {Verdict::Success, "served"},   {Verdict::NotRun, "not run"},
      {Verdict::Failure, "failed"},   {Verdict::Cut, "cut"},
      {Verdict::NotSent, "not sent"}, {Verdict::TimedOut, "timed out"}};
  auto Counts = m_check.counts();
  std::string Line;
  for (const auto &[V, Name] : Names)
    Line += fmt::format(", {} {}", Counts[V], Name);
  std::cout << "  " << m_check.sent() << " attempts" << Line << ", "
            << m_store.requestCount() << " store calls" << std::endl;
  note(m_notices.summary());
  for (const std::string &V : m_check.violations())
    std::cout << "  BROKEN " << V << std::endl;
  return m_check.violations().empty();
}

} // namespace primroseworks::soak
