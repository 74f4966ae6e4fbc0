// Carries out the placement while this VM leads: orders to engines, one at a
// time for each, with what each engine is believed to hold after them.
#ifndef PRIMROSEWORKS_LIBGATEWAY_PLACEMENTLEADER_H
#define PRIMROSEWORKS_LIBGATEWAY_PLACEMENTLEADER_H

#include "libgateway/core.h"
#include "libgateway/leadership.h"
#include "libgateway/peeraudience.h"
#include "libgateway/placement.h"

#include <asio/awaitable.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace primroseworks::gateway {

/// An order or report without an answer is given up after this time.
inline constexpr Milliseconds OrderLimit{700};
/// From the acceptance of an adapter's load until requests may use it.
inline constexpr Milliseconds AdapterLoadTime{30};
/// Pause between looks at an engine that loads or unloads a model, as a share
/// of the time passed and at least.
inline constexpr double ReportPauseShare = 0.2;
inline constexpr Milliseconds ReportPauseMin{300};
/// A load or unload not seen to end within this time is given up.
inline constexpr Seconds ModelOrderLimit{25};
/// Loads that may start together.
inline constexpr double LoadBurst = 3;
/// After an engine answered an order with a failure it gets none for this long.
inline constexpr Milliseconds OrderBackoff{400};

/// An adapter whose unload waits for its runs counts for this long: a report
/// may leave it out before its place is free.
inline constexpr Seconds UnloadWaitMost{20};
/// Pause between log lines on the input of the decisions.
inline constexpr Milliseconds DescribeInterval{1000};

class PlacementLeader {
public:
  /// OnChanged is called when an engine's holdings changed.
  PlacementLeader(Core &Shared, LeaderClaim &Claim, std::string Holder,
                  std::function<void(const std::string &)> OnChanged)
      : m_core(Shared), m_claim(Claim), m_holder(std::move(Holder)),
        m_onChanged(std::move(OnChanged)), m_limiter(1, LoadBurst) {}

  /// Plans and starts orders that are due. Does nothing while another leads.
  void step(TimePoint Now);
  /// Forgets what was in progress under an earlier claim.
  void onClaimLost();

private:
  /// An order to one engine, until its effect is known.
  struct Pending {
    PlacementMove m_move;
    TimePoint m_since{};
  };
  PlacementInput input(const std::string &ServiceName, TimePoint Now);
  asio::awaitable<void> carryOut(PlacementMove Move);
  asio::awaitable<OrderResult> send(PlacementMove Move, std::uint64_t Expected);
  asio::awaitable<bool> refresh(std::string Id);
  asio::awaitable<bool> awaitModel(PlacementMove Move, TimePoint Since);
  void describe(const PlacementInput &In, TimePoint Now);
  PlacementEngine view(const Endpoint &E, TimePoint Now) const;
  void forgetReports();
  unsigned loadsToCome() const;
  bool fits(const Endpoint &E, TimePoint Now) const;
  asio::awaitable<bool> orderModel(PlacementMove Move);
  asio::awaitable<bool> orderAdapter(PlacementMove Move);
  void awaitUnload(const PlacementMove &Move);
  asio::awaitable<void> finishAdapter(PlacementMove Move);
  asio::awaitable<void> afterRefusal(PlacementMove Move, OrderResult Outcome);
  void apply(const PlacementMove &Move, std::uint64_t Orders, TimePoint Now);
  asio::awaitable<void> pause(Duration Time);

  Core &m_core;
  LeaderClaim &m_claim;
  std::string m_holder;
  std::function<void(const std::string &)> m_onChanged;
  LoadLimiter m_limiter;
  TimePoint m_described{}; ///< Last line on the input of the decisions.
  std::map<std::string, Pending> m_pending; ///< By endpoint; at most one each.
  /// Adapters on their way, by endpoint.
  std::map<std::string, std::set<ArtifactName>> m_coming;
  /// Adapters whose unload waits for their runs, by endpoint: each keeps its
  /// place until a time.
  std::map<std::string, std::map<ArtifactName, TimePoint>> m_going;
  std::map<std::string, TimePoint> m_backoff; ///< By endpoint: no order before.
  /// Loads without an answer: the memory they may use, by endpoint.
  std::map<std::string, std::vector<PlacementMove>> m_uncertain;
};

} // namespace primroseworks::gateway

#endif
