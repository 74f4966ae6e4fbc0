// Ledger of what one engine may hold.
#include "libgateway/engineledger.h"

#include <algorithm>

namespace primroseworks::gateway {

namespace {

bool isModel(const EngineOrder &Order) { return Order.m_adapter.empty(); }

} // namespace

// --- Occupancy ------------------------------------------------------------

void Occupancy::add(const HeldModel &Model) {
  add({Model.m_name, ""});
  for (const std::string &Adapter : Model.m_adapters)
    add({Model.m_name, Adapter});
}

double Occupancy::memoryMb(const EngineSpec &Spec) const {
  double Used = 0;
  for (const auto &[Model, Adapter] : m_artifacts) {
    const auto It = Spec.m_models.find(Model);
    if (It != Spec.m_models.end())
      Used += Adapter.empty() ? It->second.m_weightMb : It->second.m_adapterMb;
  }
  return Used;
}

unsigned Occupancy::adapterSlots() const {
  return static_cast<unsigned>(
      std::count_if(m_artifacts.begin(), m_artifacts.end(),
                    [](const ArtifactName &A) { return !A.second.empty(); }));
}

bool Occupancy::hasRoomFor(const EngineSpec &Spec,
                           const ArtifactName &Name) const {
  Occupancy With = *this;
  With.add(Name);
  if (With.memoryMb(Spec) > Spec.m_memoryMb)
    return false;
  return Name.second.empty() || With.adapterSlots() <= Spec.m_adapterSlots;
}

// --- Queries --------------------------------------------------------------

bool EngineLedger::hasSent() const {
  return std::any_of(m_open.begin(), m_open.end(), [](const OpenOrder &O) {
    return O.m_state == OrderState::Sent;
  });
}

bool EngineLedger::modelOrderAccepted() const {
  return std::any_of(m_open.begin(), m_open.end(), [](const OpenOrder &O) {
    return O.m_state == OrderState::Accepted && isModel(O.m_order);
  });
}

bool EngineLedger::acceptsOrders() const {
  return m_controlled && m_orders && !hasSent() && !modelOrderAccepted();
}

bool EngineLedger::unsettled() const {
  return std::any_of(m_open.begin(), m_open.end(), [](const OpenOrder &O) {
    return O.m_state != OrderState::Sent;
  });
}

bool EngineLedger::disagrees(const std::vector<HeldModel> &Recorded,
                             TimePoint Now) const {
  if (!m_controlled || !m_open.empty() ||
      Now - std::max(m_lastOrderAt, m_lastReportAt) < OrderSettleTime)
    return false;
  const auto Artifacts = [](const std::vector<HeldModel> &Held) {
    Occupancy Out;
    for (const HeldModel &M : Held)
      Out.add(M);
    return Out;
  };
  return !(Artifacts(Recorded) == Artifacts(m_present));
}

Occupancy EngineLedger::occupancy() const {
  Occupancy Out;
  for (const HeldModel &M : m_present)
    Out.add(M);
  for (const OpenOrder &O : m_open)
    if (O.m_order.m_kind == OrderKind::Load)
      Out.add(O.artifact());
  return Out;
}

std::vector<HeldModel> EngineLedger::usable(TimePoint Now) const {
  std::vector<HeldModel> Out = m_present;
  for (HeldModel &M : Out)
    for (const auto &[Name, From] : m_usableFrom)
      if (Name.first == M.m_name && Now < From)
        M.m_adapters.erase(Name.second);
  for (const OpenOrder &O : m_open) {
    if (O.m_order.m_kind != OrderKind::Unload)
      continue;
    const auto M =
        std::find_if(Out.begin(), Out.end(), [&O](const HeldModel &Held) {
          return Held.m_name == O.m_order.m_model;
        });
    if (M == Out.end())
      continue;
    if (isModel(O.m_order))
      Out.erase(M);
    else
      M->m_adapters.erase(O.m_order.m_adapter);
  }
  return Out;
}

bool EngineLedger::mayLoad(const EngineSpec &Spec,
                           const ArtifactName &Name) const {
  const std::vector<ArtifactName> Leaving = changing(OrderKind::Unload);
  return acceptsOrders() && occupancy().hasRoomFor(Spec, Name) &&
         std::find(Leaving.begin(), Leaving.end(), Name) == Leaving.end();
}

std::vector<ArtifactName> EngineLedger::changing(OrderKind Kind) const {
  std::vector<ArtifactName> Out;
  for (const OpenOrder &O : m_open)
    if (O.m_order.m_kind == Kind)
      Out.push_back(O.artifact());
  return Out;
}

std::vector<ArtifactName> EngineLedger::arrivingAdapters(TimePoint Now) const {
  std::vector<ArtifactName> Out;
  for (const OpenOrder &O : m_open)
    if (!isModel(O.m_order) && O.m_order.m_kind == OrderKind::Load &&
        O.m_state == OrderState::Sent)
      Out.push_back(O.artifact());
  for (const auto &[Name, From] : m_usableFrom)
    if (Now < From && contains(Name))
      Out.push_back(Name);
  return Out;
}

// --- Holdings -------------------------------------------------------------

HeldModel *EngineLedger::find(const std::string &Model) {
  for (HeldModel &M : m_present)
    if (M.m_name == Model)
      return &M;
  return nullptr;
}

bool EngineLedger::contains(const ArtifactName &Name) const {
  return std::any_of(
      m_present.begin(), m_present.end(), [&Name](const HeldModel &M) {
        return M.m_name == Name.first &&
               (Name.second.empty() || M.m_adapters.count(Name.second));
      });
}

void EngineLedger::insert(const ArtifactName &Name) {
  HeldModel *Model = find(Name.first);
  if (!Model)
    Model = &m_present.emplace_back(HeldModel{Name.first, 0, {}});
  if (!Name.second.empty())
    Model->m_adapters.insert(Name.second);
}

void EngineLedger::erase(const ArtifactName &Name) {
  if (Name.second.empty()) {
    m_present.erase(std::remove_if(m_present.begin(), m_present.end(),
                                   [&Name](const HeldModel &M) {
                                     return M.m_name == Name.first;
                                   }),
                    m_present.end());
    return;
  }
  if (HeldModel *Model = find(Name.first))
    Model->m_adapters.erase(Name.second);
  m_usableFrom.erase(Name);
}

// --- Orders ---------------------------------------------------------------

void EngineLedger::onSent(const EngineOrder &Order) {
  m_open.push_back({Order, OrderState::Sent, {}});
}

void EngineLedger::onResult(OrderResult Result, TimePoint Now) {
  const auto Sent =
      std::find_if(m_open.begin(), m_open.end(), [](const OpenOrder &O) {
        return O.m_state == OrderState::Sent;
      });
  if (Sent == m_open.end())
    return;
  const EngineOrder Order = Sent->m_order;
  if (Result == OrderResult::Unknown) {
    Sent->m_state = OrderState::Unanswered;
    Sent->m_since = Now;
    m_controlled = false;
    return;
  }
  m_open.erase(Sent);
  if (Result == OrderResult::Accepted)
    onAccepted(Order, Now);
  else if (Result == OrderResult::AlreadyHolds)
    onAlreadyHolds(Order, Now);
  else if (Result != OrderResult::NotExecuted)
    m_controlled = false;
}

/// Counts an order that the engine accepted. Orders without an answer that
/// expected the same number, or a smaller one, are not executed any more.
void EngineLedger::countOrder(std::uint64_t Expected, TimePoint Now) {
  m_orders = Expected + 1;
  m_lastOrderAt = Now;
  m_open.erase(std::remove_if(m_open.begin(), m_open.end(),
                              [Expected](const OpenOrder &O) {
                                return O.m_state == OrderState::Unanswered &&
                                       O.m_order.m_expected <= Expected;
                              }),
               m_open.end());
}

void EngineLedger::onAccepted(const EngineOrder &Order, TimePoint Now) {
  countOrder(Order.m_expected, Now);
  const ArtifactName Name{Order.m_model, Order.m_adapter};
  if (Order.m_kind == OrderKind::Load && !isModel(Order)) {
    insert(Name);
    m_usableFrom[Name] = Now + AdapterLoadTime;
    return;
  }
  m_open.push_back({Order, OrderState::Accepted, Now});
}

/// An adapter's unload that completes at once is answered like this, and counts
/// as an order.
void EngineLedger::onAlreadyHolds(const EngineOrder &Order, TimePoint Now) {
  const ArtifactName Name{Order.m_model, Order.m_adapter};
  if (isModel(Order)) {
    m_controlled = false;
    return;
  }
  if (Order.m_kind == OrderKind::Load) {
    insert(Name);
    return;
  }
  countOrder(Order.m_expected, Now);
  erase(Name);
}

/// Whether an order's effect is still unknown after a report that was taken.
bool EngineLedger::remainsOpen(OpenOrder &Open, const EngineReport &Report,
                               TimePoint RequestedAt, TimePoint Now) const {
  const bool Included = Report.m_orders > Open.m_order.m_expected;
  if (Open.m_state == OrderState::Unanswered) {
    if (!Included)
      return RequestedAt < Open.m_since + MaxReportAge;
    if (!isModel(Open.m_order))
      return false;
    Open.m_state = OrderState::Accepted;
    Open.m_since = Now;
  }
  if (isModel(Open.m_order))
    return Included && Report.m_busy;
  return Included && contains(Open.artifact());
}

bool EngineLedger::onReport(const EngineReport &Report, TimePoint RequestedAt,
                            TimePoint Now) {
  if (hasSent() || (m_orders && Report.m_orders < *m_orders &&
                    RequestedAt - m_lastOrderAt < MaxReportAge))
    return false;
  const std::vector<HeldModel> Before = m_present;
  m_orders = Report.m_orders;
  m_lastReportAt = Now;
  m_present = Report.m_models;
  for (auto It = m_usableFrom.begin(); It != m_usableFrom.end();)
    It = contains(It->first) ? m_usableFrom.erase(It) : std::next(It);
  for (const ArtifactName &Name : Report.m_loadingAdapters) {
    insert(Name);
    m_usableFrom.try_emplace(Name, Now + MaxReportAge);
  }
  m_open.erase(std::remove_if(m_open.begin(), m_open.end(),
                              [&](OpenOrder &O) {
                                return !remainsOpen(O, Report, RequestedAt,
                                                    Now);
                              }),
               m_open.end());
  // A model whose unload is in progress keeps its memory, also if the report
  // leaves it out.
  for (const auto &[Model, Adapter] : changing(OrderKind::Unload))
    for (const HeldModel &M : Before)
      if (Adapter.empty() && M.m_name == Model && !contains({Model, ""}))
        m_present.push_back(M);
  if (!Report.m_busy)
    m_controlled = true;
  else if (!modelOrderAccepted())
    m_controlled = false;
  return true;
}

} // namespace primroseworks::gateway
