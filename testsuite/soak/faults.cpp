// Faults that the soak draws.
#include "soak.h"

#include <csignal>
#include <fmt/format.h>

namespace primroseworks::soak {

using namespace platform::testing;
namespace wire = platform::wire;

namespace {

/// Most writes that the store loses. The gateways' keys and the engines'
/// records are a few tens of them.
constexpr std::uint64_t MaxLostRevisions = 60;

} // namespace

void Soak::drawProcessFault(GatewayProcess &P, Milliseconds Time) {
  if (!P.running() || P.m_paused)
    return;
  switch (draw(4)) {
  case 0:
    note(P.name() + " is killed");
    P.signal(SIGKILL);
    break;
  case 1:
    note(fmt::format("{} stands still for {} ms", P.name(), Time.count()));
    start(applyFor([&P] { P.signal(SIGSTOP); },
                   [this, &P] {
                     m_notices.onInterruption(P.name());
                     P.signal(SIGCONT);
                   },
                   Time));
    break;
  case 2:
    note(P.name() + " is told to stop");
    P.signal(SIGTERM);
    break;
  default:
    note(P.name() + " gets SIGHUP");
    P.signal(SIGHUP);
  }
}

void Soak::drawStoreFault(Milliseconds Time) {
  static const std::pair<StoreFault, const char *> Kinds[] = {
      {StoreFault::Busy, "busy"},
      {StoreFault::Unresponsive, "silent"},
      {StoreFault::Slow, "slow"},
      {StoreFault::DropsResponses, "losing answers"}};
  const unsigned Kind = draw(7);
  if (Kind >= std::size(Kinds)) {
    if (Kind == 6) {
      drawOddEntry(Time);
      return;
    }
    if (Kind == 4) {
      note("the store forgets its history");
      m_store.compact();
      return;
    }
    note("the store takes the gateways' keys away");
    m_store.removePrefix("primrose/");
    return;
  }
  if (m_store.fault() != StoreFault::None)
    return;
  note(fmt::format("the store is {} for {} ms", Kinds[Kind].second,
                   Time.count()));
  const StoreFault Fault = Kinds[Kind].first;
  start(applyFor([this, Fault] { m_store.setFault(Fault); },
                 [this] { m_store.setFault(StoreFault::None); }, Time));
}

void Soak::drawOddEntry(Milliseconds Time) {
  constexpr std::size_t Depth = 5000;
  const auto Record = [](const char *Address, const char *Slots) {
    return fmt::format(R"({{"service":"plain","address":"{}","zone":"d1",)"
                       R"("version":1,"slots":{},"state":"ready"}})",
                       Address, Slots);
  };
  const std::pair<const char *, std::string> Kinds[] = {
      {"nested deeply", R"({"service":)" + std::string(Depth, '[')},
      {"closed at every level",
       std::string(Depth, '[') + std::string(Depth, ']')},
      {"with a port out of range", Record("127.0.0.1:99999", "8")},
      {"with a number too large", Record("127.0.0.1:1", "1e400")},
      {"with a fraction", Record("127.0.0.1:1", "1e30")}};
  const auto &[Name, Value] = Kinds[draw(std::size(Kinds))];
  const std::string Key =
      wire::EndpointPrefix + fmt::format("odd-{}", ++m_oddEntries);
  note(fmt::format("an entry {} for {} ms", Name, Time.count()));
  start(applyFor([this, Key, Value = Value] { m_store.put(Key, Value); },
                 [this, Key] { m_store.remove(Key); }, Time));
}

/// The store comes back from an older copy now and then.
asio::awaitable<void> Soak::drawRestores() {
  while (m_drawingRestores) {
    co_await pause(Milliseconds(1500 + m_restoreRandom() % 3500));
    if (m_drawingRestores)
      restoreStore();
  }
}

void Soak::restoreStore() {
  const auto Revisions = 1 + m_restoreRandom() % MaxLostRevisions;
  const Milliseconds Pause(100 + m_restoreRandom() % 1200);
  note(fmt::format("the store comes back from a copy {} revisions old, its "
                   "writers {} ms later",
                   Revisions, Pause.count()));
  start(applyFor([this, Revisions] { m_store.restoreCopy(Revisions); },
                 [this] { rewriteEntries(); }, Pause));
}

/// The operator and the engines write again what the store lost. The leases of
/// engines that are gone end.
void Soak::rewriteEntries() {
  putConfiguration();
  std::set<std::string> Present;
  for (const auto &E : m_engines) {
    E->renewRecord();
    Present.insert(wire::EndpointPrefix + E->id());
  }
  for (const std::string &Key : m_store.keys(wire::EndpointPrefix))
    if (!Present.count(Key))
      m_store.remove(Key);
}

void Soak::restartEngine(EngineStandin &E) {
  E.crash();
  E.removeRecord();
  E.restart();
}

void Soak::endUnderRequest(const std::string &Endpoint) {
  for (std::size_t I = 0; I < m_engines.size(); ++I) {
    if (m_engines[I]->id() != Endpoint ||
        !m_endedUnderRequest.insert(Endpoint).second)
      continue;
    EngineStandin *E = m_engines[I].get();
    Proxy *Link = m_engineLinks[I].get();
    start(applyFor(
        [E, Link] {
          Link->setState(LinkState::Refused);
          E->crash();
        },
        [this, E, Link] {
          restartEngine(*E);
          Link->setState(LinkState::Up);
        },
        Milliseconds(300 + m_partRandom() % 1200)));
  }
}

void Soak::drainEngine(EngineStandin &E, Milliseconds Time) {
  const bool SaysSoFirst = draw(2) == 0;
  note(E.id() +
       (SaysSoFirst ? " says that it leaves, then drains" : " drains"));
  if (SaysSoFirst)
    E.announceLeaving();
  const Milliseconds Unrecorded(SaysSoFirst ? 500 + draw(4000) : 0);
  const std::string Id = E.id();
  const auto Drain = [&E, Id] {
    if (E.id() == Id)
      E.drain();
  };
  start(applyFor([] {}, Drain, Unrecorded));
  start(applyFor([] {}, [this, &E] { restartEngine(E); },
                 Unrecorded + DrainLimit + Time));
}

void Soak::setEngineFaults(EngineStandin &E, const EngineFaults &Faults,
                           Milliseconds Time) {
  start(applyFor([&E, Faults] { E.m_faults = Faults; },
                 [this, &E] { E.m_faults = m_baseFaults; }, Time));
}

void Soak::setContinuationErrors(double Probability) {
  m_baseFaults.m_errorContinuationProbability = Probability;
  for (const auto &E : m_engines)
    E->m_faults.m_errorContinuationProbability = Probability;
}

void Soak::drawEngineFault(EngineStandin &E, Milliseconds Time) {
  static constexpr std::pair<double EngineFaults::*, const char *> Kinds[] = {
      {&EngineFaults::m_rejectProbability, "refuses"},
      {&EngineFaults::m_dropResponseProbability, "loses responses"},
      {&EngineFaults::m_truncateProbability, "truncates streams"},
      {&EngineFaults::m_stallProbability, "stalls"},
      {&EngineFaults::m_lateOrderProbability, "executes orders late"},
      {&EngineFaults::m_dropOrderResponseProbability,
       "loses responses to orders"},
      {&EngineFaults::m_silenceProbability, "is silent within streams"},
      {&EngineFaults::m_pauseProbability, "asks for pauses"},
      {&EngineFaults::m_repeatRefusalProbability, "repeats refusals"},
      {&EngineFaults::m_endlessProbability, "sends bytes without end"}};
  const unsigned Kind = draw(std::size(Kinds) + 3);
  if (Kind == std::size(Kinds)) {
    note(E.id() + " crashes");
    start(
        applyFor([&E] { E.crash(); }, [this, &E] { restartEngine(E); }, Time));
    return;
  }
  if (Kind > std::size(Kinds)) {
    drainEngine(E, Time);
    return;
  }
  const auto &[Fault, Name] = Kinds[Kind];
  EngineFaults F = m_baseFaults;
  F.*Fault = 0.3;
  if (Fault == &EngineFaults::m_repeatRefusalProbability)
    F.m_rejectProbability = 0.3;
  if (Fault == &EngineFaults::m_rejectProbability)
    F.m_unstatedRefusalProbability = 0.3;
  note(fmt::format("{} {} for {} ms", E.id(), Name, Time.count()));
  setEngineFaults(E, F, Time);
}

void Soak::drawLinkFault(Proxy &P, Milliseconds Time) {
  static const std::pair<LinkState, const char *> Kinds[] = {
      {LinkState::Delayed, "delayed"},
      {LinkState::OneWay, "cut one way"},
      {LinkState::Silent, "silent"},
      {LinkState::OldSilent, "silent on open connections"},
      {LinkState::Lossy, "losing packets"},
      {LinkState::Unreachable, "closed to new connections"}};
  const unsigned Kind = draw(std::size(Kinds) + 1);
  if (Kind == std::size(Kinds)) {
    note("the link at " + P.address() + " is reset");
    P.reset();
    return;
  }
  note(fmt::format("the link at {} is {} for {} ms", P.address(),
                   Kinds[Kind].second, Time.count()));
  const LinkState State = Kinds[Kind].first;
  start(applyFor([&P, State] { P.setState(State); },
                 [&P] { P.setState(LinkState::Up); }, Time));
}

Clock::time_point Soak::lastLinkFault(const std::string &Endpoint) const {
  for (std::size_t I = 0; I < m_engines.size(); ++I)
    if (m_engines[I]->id() == Endpoint)
      return m_engineLinks[I]->lastFault(Clock::now());
  return Clock::now();
}

void Soak::drawIdleTimeout() {
  static constexpr int Choices[] = {500, 1500, 4000};
  m_idleTimeout = Milliseconds(Choices[draw(std::size(Choices))]);
}

void Soak::putConfiguration() {
  m_store.put(wire::ConfigurationKey,
              soakConfiguration(m_version, m_extraRoutes, m_idleTimeout));
}

void Soak::changeConfiguration() {
  m_version += 1 + draw(5);
  m_extraRoutes += draw(2);
  drawIdleTimeout();
  note(fmt::format("configuration {} with {} more routes, idle time {} ms",
                   m_version, m_extraRoutes, m_idleTimeout.count()));
  putConfiguration();
}

void Soak::drawFault() {
  const Milliseconds Time(200 + draw(3000));
  switch (draw(6)) {
  case 0:
  case 1:
    drawProcessFault(*m_gateways[draw(m_options.m_gateways)], Time);
    break;
  case 2:
    drawStoreFault(Time);
    break;
  case 3:
    drawEngineFault(*m_engines[draw(static_cast<unsigned>(m_engines.size()))],
                    Time);
    break;
  case 4:
    if (draw(2) == 0)
      drawLinkFault(*m_storeLinks[draw(m_options.m_gateways)], Time);
    else
      drawLinkFault(
          *m_engineLinks[draw(static_cast<unsigned>(m_engineLinks.size()))],
          Time);
    break;
  default:
    changeConfiguration();
  }
}

} // namespace primroseworks::soak
