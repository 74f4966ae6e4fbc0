// A run of the soak: stand-ins in this process, gateways as processes, faults
// drawn from a seed, and the promises checked meanwhile.
#ifndef PRIMROSE_SOAK_SOAK_H
#define PRIMROSE_SOAK_SOAK_H

#include "callers.h"
#include "checker.h"
#include "gatewayprocess.h"
#include "noticechecker.h"
#include "platform/enginestandin_fake.h"
#include "platform/storestandin_fake.h"
#include "proxy.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace primroseworks::soak {

using platform::testing::EngineStandin;
using platform::testing::StoreStandin;

struct SoakOptions {
  std::string m_program; ///< Path of primrose-gateway.
  std::string m_folder;  ///< For settings and logs.
  std::uint64_t m_seed = 1;
  std::chrono::seconds m_faultTime{12};
  unsigned m_gateways = 4;
  unsigned m_callers = 16;
  unsigned m_subnet = 0; ///< Of 127.0.0.0/8; runs at once differ in it.
};

class Soak {
public:
  explicit Soak(SoakOptions Options);
  /// Plays the run; true if no promise was broken.
  bool run();

private:
  using Milliseconds = std::chrono::milliseconds;
  /// Within this time a VM stops sending to an endpoint that leaves.
  static constexpr Milliseconds DrainLimit{2500};

  asio::awaitable<void> play();
  asio::awaitable<void> watchProcesses();
  asio::awaitable<void> injectFaults();
  asio::awaitable<void> applyFor(std::function<void()> Begin,
                                 std::function<void()> End, Milliseconds Time);
  asio::awaitable<void> checkRecovery();
  asio::awaitable<void> checkSilences();
  asio::awaitable<void> drawSilences();
  asio::awaitable<void> checkConfiguration();
  asio::awaitable<void> checkDrain();
  asio::awaitable<void> checkRollingStop();
  asio::awaitable<void> checkCrashing(char Prefix);
  asio::awaitable<void> checkEndlessResponses();
  asio::awaitable<void> sendProbe(std::string Address);
  asio::awaitable<unsigned> sendCrashing(std::string Address, char Prefix);
  asio::awaitable<void> sendDeadlyParts();
  asio::awaitable<void> startCrashing(std::string Address, char Prefix);
  asio::awaitable<void> pause(Milliseconds Time);

  Clock::time_point lastLinkFault(const std::string &Endpoint) const;
  void drawFault();
  void drawProcessFault(GatewayProcess &P, Milliseconds Time);
  void drawStoreFault(Milliseconds Time);
  void drawEngineFault(EngineStandin &E, Milliseconds Time);
  void silence(unsigned First, unsigned Count, unsigned Silent,
               Milliseconds Shortest);
  void drawSilence(unsigned First, unsigned Count);
  void drawOddEntry(Milliseconds Time);
  asio::awaitable<void> drawRestores();
  void restoreStore();
  void rewriteEntries();
  void restartEngine(EngineStandin &E);
  void endUnderRequest(const std::string &Endpoint);
  void drainEngine(EngineStandin &E, Milliseconds Time);
  void setEngineFaults(EngineStandin &E,
                       const platform::testing::EngineFaults &F,
                       Milliseconds Time);
  void setContinuationErrors(double Probability);
  void drawIdleTimeout();
  void putConfiguration();
  void drawLinkFault(Proxy &P, Milliseconds Time);
  void changeConfiguration();
  void start(asio::awaitable<void> Task);
  unsigned draw(unsigned Below) { return m_random() % Below; }
  void note(const std::string &Text);

  SoakOptions m_options;
  std::mt19937_64 m_random;
  asio::io_context m_io{1};
  Checker m_check;
  NoticeChecker m_notices{m_check, [this](const std::string &Endpoint) {
                            return lastLinkFault(Endpoint);
                          }};
  StoreStandin m_store;
  std::vector<std::unique_ptr<EngineStandin>> m_engines;
  std::vector<std::unique_ptr<Proxy>> m_engineLinks; ///< One an engine.
  std::vector<std::unique_ptr<Proxy>> m_storeLinks;  ///< One a gateway.
  std::vector<std::unique_ptr<GatewayProcess>> m_gateways;
  std::unique_ptr<Callers> m_callers;
  std::uint64_t m_version = 1; ///< Of the configuration.
  unsigned m_extraRoutes = 0;
  Milliseconds m_idleTimeout{4000}; ///< Of the newest configuration.
  unsigned m_oddEntries = 0;
  /// Ids of the endpoints that ended under the request, or the part of a
  /// prompt, which ends them.
  std::set<std::string> m_endedUnderRequest;
  std::string m_deadlyPart = "dead1"; ///< Of prompts.
  /// Draws what follows such requests; the other draws stay those of the seed.
  std::mt19937_64 m_partRandom;
  bool m_sendingDeadlyParts = false;
  /// Draws which endpoints fall silent; the other draws stay those of the seed.
  std::mt19937_64 m_silenceRandom;
  bool m_drawingSilences = false;
  /// Draws when the store comes back from a copy; the other draws stay those of
  /// the seed.
  std::mt19937_64 m_restoreRandom;
  bool m_drawingRestores = false;
  unsigned m_crashingPaths = 0; ///< No two requests with it are alike.
  /// Of endpoints without a drawn fault.
  platform::testing::EngineFaults m_baseFaults;
  int m_faultsInForce = 0;
  bool m_keepRunning = true; ///< Processes that end are started again.
  bool m_done = false;
  /// Set while an endpoint that drains must get nothing new.
  bool m_drainOver = false;
};

} // namespace primroseworks::soak

#endif
