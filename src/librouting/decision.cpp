// Router: choice of an endpoint for a request.
#include "librouting/router_pvt.h"

#include <algorithm>
#include <cmath>

namespace primroseworks {

namespace {
/// Prefill speed assumed until an engine reports one, in tokens per second.
constexpr double DefaultPrefillSpeed = 5000;
/// Time that an adapter load adds: some tens of ms while the store is not
/// overloaded.
constexpr double AdapterLoadMillis = 60;
/// Score of one ms of predicted token gap, in ms of time to first token.
constexpr double GapWeight = 10;
/// Score of one unit of link price, in ms of time to first token.
constexpr double PriceWeight = 2000;
/// Bytes that one token takes on a link: text, index and framing.
constexpr double BytesPerToken = 100;
/// An endpoint whose fixed costs are higher by this many ms is drawn a third as
/// often (temperature of the draw).
constexpr double DrawTemperature = 25;
/// Part of the limit open to a rank below its guaranteed share, so that it gets
/// in although other daemons keep the endpoint at its limit.
constexpr double EntitledPart = 1.05;
/// Prefill backlog that a request of each rank may add to, in ms. Beyond it the
/// request waits in the dispatcher, where shorter and more urgent ones pass it.
constexpr std::array<double, RankCount> BacklogLimit = {1000, 600, 300};
/// Time that a request stays at an endpoint until it is measured.
constexpr double DefaultHoldMillis = 3000;

bool contains(const std::vector<std::string> *Names, const std::string &Name) {
  return Names && std::find(Names->begin(), Names->end(), Name) != Names->end();
}
} // namespace

bool Router::refuses(EndpointRecord &E, ModelId Model, TimePoint Now) {
  auto &R = E.m_refusals;
  R.erase(std::remove_if(R.begin(), R.end(),
                         [&](const auto &X) { return X.second <= Now; }),
          R.end());
  return std::any_of(R.begin(), R.end(),
                     [&](const auto &X) { return X.first == Model; });
}

/// One decision in progress.
struct Router::Search {
  std::vector<EndpointId> m_seen;
  std::vector<Scored> m_fit;
  std::vector<Scored> m_passed;   ///< Examined and not chosen, with a note.
  std::vector<Scored> m_weighted; ///< Would fit, but skipped for its failures.
  Prefixes m_prefixes;
  std::optional<EndpointId> m_probe;
  bool m_requestOnly = false; ///< Some endpoint had room for other requests.
  bool m_ignoreExclusion = false;
};

Router::Prefixes Router::expectedPrefixes(const RouteQuery &Query,
                                          TimePoint Now) const {
  Prefixes Out;
  if (!m_options.m_parts.m_prefixBelief || !Query.m_prefixHashes ||
      Query.m_prefixHashes->empty())
    return Out;
  const std::vector<std::uint64_t> &Hashes = *Query.m_prefixHashes;
  double BlockTokens = static_cast<double>(Query.m_promptTokens) /
                       static_cast<double>(Hashes.size());
  std::size_t Step =
      (Hashes.size() + pvt::PrefixProbes - 1) / pvt::PrefixProbes;
  // From the longest prefix down, since the hashes are cumulative.
  for (std::size_t I = Hashes.size(); I > 0; I -= std::min(I, Step)) {
    for (const PrefixBelief::Holder &H : m_prefixes.holders(
             pvt::prefixKey(Query.m_model, Hashes[I - 1]), Now)) {
      double Tokens = H.m_confidence * BlockTokens * static_cast<double>(I);
      auto Known =
          std::find_if(Out.m_cached.begin(), Out.m_cached.end(),
                       [&](const auto &C) { return C.first == H.m_endpoint; });
      if (Known == Out.m_cached.end())
        Out.m_cached.emplace_back(H.m_endpoint, Tokens);
      else
        Known->second = std::max(Known->second, Tokens);
    }
    if (Out.m_cached.size() >= PrefixHoldersMax)
      break;
  }
  return Out;
}

Router::Scored Router::score(const RouteQuery &Query, EndpointId Id,
                             double Cached, TimePoint Now) const {
  const EndpointRecord &E = m_endpoints[Id];
  const LoadReport &Report = E.m_load.report();
  double Speed = Report.m_prefillTokensPerSecond > 0
                     ? Report.m_prefillTokensPerSecond
                     : DefaultPrefillSpeed;
  double Occupancy = E.m_load.occupancy(Now);
  Scored S;
  S.m_endpoint = Id;
  S.m_cached = static_cast<unsigned>(
      std::min(Cached, static_cast<double>(Query.m_promptTokens)));
  S.m_gap = E.m_load.predictGap(Occupancy + 1);
  if (S.m_gap <= 0)
    S.m_gap = m_typicalGap.predict(Occupancy + 1);
  double Fixed = (Query.m_promptTokens - S.m_cached) / Speed * 1000;
  bool HasAdapter = Query.m_adapter == 0 ||
                    std::find(E.m_adapters.begin(), E.m_adapters.end(),
                              Query.m_adapter) != E.m_adapters.end();
  if (!HasAdapter)
    Fixed += AdapterLoadMillis;
  double Waiting = E.m_load.backlogTokens(Now) / Speed * 1000 + S.m_gap;
  double Over = Occupancy + 1 - Report.m_maxBatch;
  if (Report.m_maxBatch > 0 && Over > 0)
    Waiting += Over * E.m_holdMillis / Report.m_maxBatch;
  bool SameRegion = E.m_info.m_region == m_options.m_region;
  auto Delay =
      SameRegion ? m_options.m_failureDomainDelay : m_options.m_regionDelay;
  double Network = 2 * static_cast<double>(Delay.count());
  S.m_firstToken = (Fixed + Waiting) * E.m_latencyRatio + Network;
  double Megabytes =
      BytesPerToken * (Query.m_promptTokens + Query.m_maxTokens) / 1e6;
  S.m_price = E.m_price * Megabytes;
  double Hold = E.m_holdMillis > 0 ? E.m_holdMillis : DefaultHoldMillis;
  double Slope = m_typicalGap.predict(1) - m_typicalGap.predict(0);
  S.m_uncertainty = GapWeight * Slope * E.m_load.uncertainty(Hold, Now);
  S.m_fixed = Fixed + Network + PriceWeight * S.m_price;
  S.m_score = S.m_firstToken + GapWeight * S.m_gap + PriceWeight * S.m_price;
  return S;
}

void Router::examine(const RouteQuery &Query, EndpointId Id, Search &S,
                     TimePoint Now) {
  if (std::find(S.m_seen.begin(), S.m_seen.end(), Id) != S.m_seen.end())
    return;
  S.m_seen.push_back(Id);
  ++m_evaluations;
  EndpointRecord &E = m_endpoints[Id];
  double Cached = 0;
  for (const auto &[Holder, Tokens] : S.m_prefixes.m_cached)
    if (Holder == Id)
      Cached = Tokens;
  Scored C = score(Query, Id, Cached, Now);
  auto Pass = [&](const char *Note, bool RequestOnly) {
    C.m_note = Note;
    S.m_passed.push_back(C);
    S.m_requestOnly |= RequestOnly;
  };
  // Without reports, free slots are divided anew after two intervals.
  if (E.m_load.sinceRenewal(Now) >= 2 * E.m_load.lag())
    E.m_load.renewAllowance(m_gapTarget, unitRandom(), Now);
  if (refuses(E, Query.m_model, Now))
    return Pass("it refused the model", false);
  double Capacity = Query.m_entitled ? capacity(Id, Rank::Urgent) * EntitledPart
                                     : capacity(Id, Query.m_rank);
  bool Replaces = Query.m_entitled && E.m_load.replaces();
  if (!Replaces && E.m_load.occupancy(Now) + 1 > Capacity)
    return Pass("at its limit for this rank", false);
  if (!Query.m_entitled && !E.m_load.allowanceLeft())
    return Pass("own part of its free slots is used", false);
  if (!S.m_ignoreExclusion && contains(Query.m_exclude, name(Id)))
    return Pass("it failed this request before", true);
  if (Query.m_allowed && !Query.m_allowed(name(Id)))
    return Pass("another crash suspect has it", true);
  double Speed = std::max(1.0, E.m_load.report().m_prefillTokensPerSecond);
  double Backlog = E.m_load.backlogTokens(Now) / Speed * 1000;
  if (Backlog > BacklogLimit[static_cast<std::size_t>(Query.m_rank)])
    return Pass("prefill backlog", false);
  if (Now + fromSeconds(C.m_firstToken / 1000) > Query.m_deadline)
    return Pass("first token would be late", true);
  if (E.m_weight < 1 && unitRandom() >= E.m_weight &&
      !(S.m_probe && *S.m_probe == Id)) {
    C.m_note = "recent failures";
    S.m_weighted.push_back(C);
    return;
  }
  S.m_fit.push_back(C);
}

std::optional<EndpointId> Router::dueProbe(const RouteQuery &Query,
                                           ModelRecord &M, TimePoint Now) {
  if (!Query.m_mayProbe)
    return std::nullopt;
  for (std::uint32_t I : M.m_ejected) {
    EndpointId Id = M.m_replicas[I];
    EndpointRecord &E = m_endpoints[Id];
    // Urgent work probes only when nothing else did for five intervals.
    Duration Extra =
        Query.m_rank == Rank::Urgent ? 4 * ProbeInterval : Milliseconds(0);
    if (Now >= E.m_nextProbe + Extra && E.m_load.own() == 0)
      return Id;
  }
  return std::nullopt;
}

void Router::collect(const RouteQuery &Query, ModelRecord &M, Search &S,
                     TimePoint Now) {
  auto Usable = [&](EndpointId Id) {
    return m_endpoints[Id].m_known &&
           m_endpoints[Id].m_info.m_state == EndpointState::Live &&
           isReplica(Id, Query.m_model) &&
           m_endpoints[Id].m_weight >= EjectBelow;
  };
  for (const auto &[Id, Tokens] : S.m_prefixes.m_cached)
    if (Usable(Id))
      examine(Query, Id, S, Now);
  while (!M.m_freed.empty()) {
    EndpointId Id = M.m_freed.back();
    M.m_freed.pop_back();
    if (!Usable(Id))
      continue;
    examine(Query, Id, S, Now);
    break;
  }
  std::size_t Count = M.m_usable.size();
  std::size_t Draws = std::min(RouteSample, Count);
  // A partial shuffle draws without repetition in time of the sample.
  for (std::size_t I = 0; I < Draws; ++I) {
    std::size_t J =
        std::uniform_int_distribution<std::size_t>(I, Count - 1)(m_random);
    std::swap(M.m_usable[I], M.m_usable[J]);
    examine(Query, M.m_replicas[M.m_usable[I]], S, Now);
  }
}

RouteChoice Router::choose(const RouteQuery &Query, TimePoint Now) {
  ModelRecord &M = m_models[Query.m_model];
  refresh(M);
  if (M.m_replicas.empty()) {
    RouteChoice None;
    None.m_obstacle = RouteObstacle::NotResident;
    return None;
  }
  Search S;
  S.m_prefixes = expectedPrefixes(Query, Now);
  // With every replica excluded, one that failed before is better than none.
  S.m_ignoreExclusion =
      Query.m_exclude && Query.m_exclude->size() >= M.m_usable.size() &&
      std::all_of(M.m_usable.begin(), M.m_usable.end(), [&](std::uint32_t I) {
        return contains(Query.m_exclude, name(M.m_replicas[I]));
      });
  S.m_probe = dueProbe(Query, M, Now);
  if (S.m_probe) {
    examine(Query, *S.m_probe, S, Now);
    if (!S.m_fit.empty())
      return decide(S);
    S.m_probe.reset();
  }
  collect(Query, M, S, Now);
  return decide(S);
}

// Draws two of the sample and returns the better one, by its position. Beliefs
// about load are stale: if every daemon took the best of all, all would take
// the same. Fixed costs are certain, so they decide how often an endpoint is
// drawn.
std::size_t Router::drawTwo(const std::vector<Scored> &Fit) {
  if (Fit.size() < 2)
    return 0;
  double Least = Fit[0].m_fixed;
  for (const Scored &S : Fit)
    Least = std::min(Least, S.m_fixed);
  auto WeightOf = [&](std::size_t I) {
    return std::exp((Least - Fit[I].m_fixed) / DrawTemperature);
  };
  std::size_t Drawn[2] = {Fit.size(), Fit.size()};
  for (std::size_t &Draw : Drawn) {
    double Total = 0;
    for (std::size_t I = 0; I < Fit.size(); ++I)
      Total += I == Drawn[0] ? 0 : WeightOf(I);
    double Left = unitRandom() * Total;
    std::size_t Last = 0;
    for (std::size_t I = 0; I < Fit.size(); ++I) {
      if (I == Drawn[0])
        continue;
      Last = I;
      Left -= WeightOf(I);
      if (Left <= 0)
        break;
    }
    Draw = Last;
  }
  std::size_t Better = std::min(Drawn[0], Drawn[1]);
  std::size_t Worse = std::max(Drawn[0], Drawn[1]);
  double Doubt = Fit[Better].m_uncertainty + Fit[Worse].m_uncertainty;
  double Difference = Fit[Worse].m_score - Fit[Better].m_score;
  double Odds = Doubt > 0 ? std::exp(-Difference / Doubt) : 0;
  return unitRandom() < Odds / (1 + Odds) ? Worse : Better;
}

RouteChoice Router::decide(Search &S) {
  RouteChoice Out;
  if (S.m_fit.empty())
    S.m_fit.swap(S.m_weighted);
  std::sort(
      S.m_fit.begin(), S.m_fit.end(),
      [](const Scored &A, const Scored &B) { return A.m_score < B.m_score; });
  std::size_t Chosen = m_options.m_parts.m_drawTwo ? drawTwo(S.m_fit) : 0;
  std::size_t Fitting = S.m_fit.size();
  S.m_fit.insert(S.m_fit.end(), S.m_weighted.begin(), S.m_weighted.end());
  S.m_fit.insert(S.m_fit.end(), S.m_passed.begin(), S.m_passed.end());
  if (Fitting == 0) {
    Out.m_obstacle =
        S.m_requestOnly ? RouteObstacle::Request : RouteObstacle::Busy;
    return Out;
  }
  for (const Scored &C : S.m_fit)
    Out.m_candidates.push_back({name(C.m_endpoint), C.m_firstToken, C.m_gap,
                                C.m_cached, C.m_price, C.m_score, C.m_note});
  const Scored &Best = S.m_fit[Chosen];
  Out.m_endpoint = Best.m_endpoint;
  Out.m_firstTokenMillis = Best.m_firstToken;
  Out.m_cachedTokens = Best.m_cached;
  Out.m_probe = S.m_probe && *S.m_probe == Best.m_endpoint;
  Out.m_reason = Out.m_probe                   ? "probe of an ejected endpoint"
                 : Fitting == 1                ? "only endpoint with room"
                 : m_options.m_parts.m_drawTwo ? "better of two drawn"
                                               : "best of the sample";
  return Out;
}

} // namespace primroseworks
