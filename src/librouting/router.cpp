// Router: which endpoints there are, what they hold, and what their reports
// say.
#include "librouting/router_pvt.h"

#include <algorithm>
#include <cmath>

namespace primroseworks {

namespace {
/// Part of the limit kept free for the ranks above.
constexpr double StandardReserve = 0.05;
constexpr double BatchReserve = 0.1;
/// Weight of an endpoint that came back as a new process.
constexpr double RestartWeight = 0.5;
/// A few hundred reports, which come from all endpoints.
constexpr double WeightGain = 0.005;
constexpr double PromptWeightMin = 0.005;
constexpr double PromptWeightMax = 1;
} // namespace

Result<std::unique_ptr<Router>> Router::create(RouterOptions Options) {
  if (Options.m_failureDomainDelay.count() < 0 ||
      Options.m_regionDelay.count() < 0)
    return makeError(ErrorKind::InvalidArgument,
                     "a network delay is negative; set it to 0 ms or more");
  return std::unique_ptr<Router>(new Router(std::move(Options)));
}

Router::Router(RouterOptions Options)
    : m_options(std::move(Options)), m_random(m_options.m_seed) {
  m_adapterNames.add("");
}

double Router::unitRandom() {
  return std::uniform_real_distribution<double>(0, 1)(m_random);
}

void Router::setCatalog(const Catalog &Next) {
  m_linkPrice = Next.m_linkPrice;
  m_gapTarget = 1e9;
  for (const RankPolicy &P : Next.m_ranks)
    m_gapTarget =
        std::min(m_gapTarget, static_cast<double>(P.m_tokenGapTarget.count()));
  for (EndpointRecord &E : m_endpoints)
    priceOf(E);
}

void Router::priceOf(EndpointRecord &E) {
  auto It = m_linkPrice.find(m_options.m_region + "/" + E.m_info.m_region);
  bool Priced = m_options.m_parts.m_linkPrice && It != m_linkPrice.end();
  E.m_price = Priced ? It->second : 0;
}

EndpointId Router::setEndpoint(const EndpointInfo &Info, TimePoint) {
  EndpointId Id = m_names.add(Info.m_name);
  if (Id >= m_endpoints.size())
    m_endpoints.resize(Id + 1);
  EndpointRecord &E = m_endpoints[Id];
  bool WasLive = E.m_known && E.m_info.m_state == EndpointState::Live;
  E.m_info = Info;
  E.m_known = true;
  E.m_load.setCorrection(m_options.m_parts.m_loadCorrection);
  priceOf(E);
  bool Live = Info.m_state == EndpointState::Live;
  if (WasLive && !Live)
    unindex(Id);
  if (!WasLive && Live && E.m_load.reported())
    index(Id, E.m_load.report());
  return Id;
}

void Router::removeEndpoint(const std::string &Name) {
  auto Id = m_names.find(Name);
  if (!Id || !m_endpoints[*Id].m_known)
    return;
  unindex(*Id);
  m_prefixes.forget(*Id);
  m_endpoints[*Id].m_known = false;
}

Router::EndpointRecord *Router::find(const std::string &Name) {
  auto Id = m_names.find(Name);
  if (!Id || !m_endpoints[*Id].m_known)
    return nullptr;
  return &m_endpoints[*Id];
}

ModelId Router::model(const std::string &Name, const std::string &Version) {
  ModelId Id = m_modelNames.add(Name + '\n' + Version);
  if (Id >= m_models.size())
    m_models.resize(Id + 1);
  return Id;
}

AdapterId Router::adapter(const std::string &Name) {
  return m_adapterNames.add(Name);
}

void Router::unindex(EndpointId Id) {
  EndpointRecord &E = m_endpoints[Id];
  for (ModelId Model : E.m_models) {
    ModelRecord &M = m_models[Model];
    M.m_replicas.erase(std::remove_if(M.m_replicas.begin(), M.m_replicas.end(),
                                      [&](EndpointId R) { return R == Id; }),
                       M.m_replicas.end());
    M.m_changed = true;
  }
  E.m_models.clear();
}

void Router::index(EndpointId Id, const LoadReport &Report) {
  std::vector<ModelId> Models;
  std::vector<AdapterId> Adapters;
  for (const ResidentArtifact &R : Report.m_resident)
    if (R.m_artifact.m_kind == ArtifactKind::Model)
      Models.push_back(model(R.m_artifact.m_name, R.m_artifact.m_version));
    else
      Adapters.push_back(adapter(R.m_artifact.m_name));
  std::sort(Models.begin(), Models.end());
  Models.erase(std::unique(Models.begin(), Models.end()), Models.end());
  EndpointRecord &E = m_endpoints[Id];
  E.m_adapters = std::move(Adapters);
  if (Models == E.m_models)
    return;
  unindex(Id);
  E.m_models = Models;
  for (ModelId Model : Models) {
    m_models[Model].m_replicas.push_back(Id);
    m_models[Model].m_changed = true;
  }
}

std::optional<EndpointId> Router::onReport(const std::string &Name,
                                           const LoadReport &Report,
                                           TimePoint Now) {
  EndpointRecord *E = find(Name);
  if (!E)
    return std::nullopt;
  auto Id = static_cast<EndpointId>(E - m_endpoints.data());
  bool Restarted =
      E->m_load.reported() && Report.m_runId != E->m_load.report().m_runId;
  if (E->m_load.reported() && !Restarted &&
      Report.m_sequence < E->m_load.report().m_sequence)
    return std::nullopt;
  if (Restarted) {
    m_prefixes.forget(Id);
    E->m_eventSequence = 0;
    E->m_latencyRatio = 1;
    E->m_weight = std::max(E->m_weight, RestartWeight);
    markChanged(*E);
  }
  E->m_load.onReport(Report, Now, &m_reportAge);
  m_typicalGap.observe(Report.m_running, Report.m_tokenGapMillis);
  if (Report.m_prefillTokensPerSecond > 0 && Report.m_tokenGapMillis > 0 &&
      Report.m_running > 0) {
    double Generated = Report.m_tokenGapMillis / Report.m_running;
    double Weight = 1000 / Report.m_prefillTokensPerSecond / Generated;
    m_promptWeight +=
        WeightGain *
        (std::clamp(Weight, PromptWeightMin, PromptWeightMax) - m_promptWeight);
  }
  E->m_load.renewAllowance(m_gapTarget, unitRandom(), Now);
  if (E->m_info.m_state == EndpointState::Live)
    index(Id, Report);
  return Id;
}

std::optional<EndpointId> Router::onPeerLoad(const std::string &Name,
                                             unsigned InFlight, TimePoint Now) {
  EndpointRecord *E = find(Name);
  if (!E)
    return std::nullopt;
  E->m_load.onPeerLoad(InFlight, Now);
  return static_cast<EndpointId>(E - m_endpoints.data());
}

void Router::onCacheEvents(const std::string &Name,
                           const std::vector<CacheEvent> &Events,
                           TimePoint Now) {
  EndpointRecord *E = find(Name);
  if (!E)
    return;
  auto Id = static_cast<EndpointId>(E - m_endpoints.data());
  for (const CacheEvent &Event : Events) {
    if (E->m_eventSequence != 0 && Event.m_sequence > E->m_eventSequence + 1)
      m_prefixes.doubt(Id);
    E->m_eventSequence = std::max(E->m_eventSequence, Event.m_sequence);
    // Events name the model without its version; any resident one may match.
    for (ModelId Model : E->m_models) {
      const std::string &Full = m_modelNames.name(Model);
      if (Full.compare(0, Event.m_model.size(), Event.m_model) != 0 ||
          Full[Event.m_model.size()] != '\n')
        continue;
      std::uint64_t Key = pvt::prefixKey(Model, Event.m_prefixHash);
      if (Event.m_stored)
        m_prefixes.add(Id, Key, 1, Now);
      else
        m_prefixes.remove(Id, Key);
    }
  }
}

std::size_t Router::replicas(ModelId Model) const {
  return m_models[Model].m_replicas.size();
}

bool Router::isReplica(EndpointId Id, ModelId Model) const {
  const std::vector<ModelId> &Models = m_endpoints[Id].m_models;
  return std::find(Models.begin(), Models.end(), Model) != Models.end();
}

void Router::markChanged(const EndpointRecord &E) {
  for (ModelId Model : E.m_models)
    m_models[Model].m_changed = true;
}

void Router::refresh(ModelRecord &M) {
  if (!M.m_changed)
    return;
  M.m_changed = false;
  M.m_usable.clear();
  M.m_ejected.clear();
  auto WeightOf = [&](std::uint32_t I) {
    return m_endpoints[M.m_replicas[I]].m_weight;
  };
  for (std::uint32_t I = 0; I < M.m_replicas.size(); ++I)
    (WeightOf(I) < EjectBelow ? M.m_ejected : M.m_usable).push_back(I);
  // At most half are ejected, rounded down: with one replica, none.
  std::size_t Allowed = M.m_replicas.size() / 2;
  if (M.m_ejected.size() <= Allowed)
    return;
  std::sort(M.m_ejected.begin(), M.m_ejected.end(),
            [&](std::uint32_t A, std::uint32_t B) {
              return WeightOf(A) < WeightOf(B);
            });
  M.m_usable.insert(M.m_usable.end(),
                    M.m_ejected.begin() + static_cast<std::ptrdiff_t>(Allowed),
                    M.m_ejected.end());
  M.m_ejected.resize(Allowed);
}

bool Router::ejected(EndpointId Id, ModelId Model) {
  ModelRecord &M = m_models[Model];
  refresh(M);
  return std::any_of(M.m_ejected.begin(), M.m_ejected.end(),
                     [&](std::uint32_t I) { return M.m_replicas[I] == Id; });
}

double Router::capacity(EndpointId Id, Rank R) const {
  double Limit = m_endpoints[Id].m_load.limit(m_gapTarget);
  double Reserve = R == Rank::Urgent     ? 0
                   : R == Rank::Standard ? StandardReserve
                                         : BatchReserve;
  return std::max(1.0, Limit - std::floor(Limit * Reserve));
}

} // namespace primroseworks
