// Property test of the endpoints' own notices: whatever the store, other
// gateways and the endpoints do, no request is sent against a notice.
#include "libgateway/endpoints.h"

#include <array>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {

const TimePoint Start = TimePoint() + Seconds(10000);
/// Makes the drawn sequences longer than the default of up to 100 steps.
constexpr double StepsScale = 4;
constexpr unsigned Endpoints = 3;
/// Requests that may reach an endpoint between PauseGrace after its notice and
/// the end of its pause.
constexpr unsigned MaxSentInPause = 2;
constexpr Milliseconds PauseGrace{500};

enum class StepKind {
  Choose,     ///< A request is granted or reserved an endpoint.
  Send,       ///< A request is sent where it was placed.
  Leaves,     ///< A response with Server-Leaving.
  Pauses,     ///< A 503 with Retry-After.
  PeerLeaves, ///< Another gateway heard one of these.
  PeerPauses, ///< See PeerLeaves.
  Record,     ///< The present record arrives.
  OldRecord,  ///< A record of an earlier incarnation arrives.
  List,       ///< A list, of which one endpoint may be missing.
  Remove,     ///< A record is deleted.
  Outage,     ///< All records lapse and are kept for some time.
  Expire,     ///< The regular clean-up.
  Restart     ///< The endpoint begins a new incarnation.
};

struct Step {
  StepKind m_kind = StepKind::Choose;
  unsigned m_choice = 0; ///< Selects endpoint, age and length.
  int m_delayMs = 0;
};

void showValue(const Step &S, std::ostream &Out) {
  Out << '{' << static_cast<int>(S.m_kind) << ' ' << S.m_choice << ' '
      << S.m_delayMs << '}';
}

/// Draws one step, from the same ranges at all sizes.
rc::Gen<Step> anyStep() {
  const auto Kind =
      rc::gen::weightedElement<StepKind>({{20, StepKind::Choose},
                                          {25, StepKind::Send},
                                          {3, StepKind::Leaves},
                                          {5, StepKind::Pauses},
                                          {2, StepKind::PeerLeaves},
                                          {3, StepKind::PeerPauses},
                                          {8, StepKind::Record},
                                          {4, StepKind::OldRecord},
                                          {5, StepKind::List},
                                          {3, StepKind::Remove},
                                          {2, StepKind::Outage},
                                          {4, StepKind::Expire},
                                          {5, StepKind::Restart}});
  return rc::gen::resize(
      rc::kNominalSize,
      rc::gen::build<Step>(
          rc::gen::set(&Step::m_kind, Kind),
          rc::gen::set(&Step::m_choice, rc::gen::inRange(0U, 420U)),
          rc::gen::set(&Step::m_delayMs, rc::gen::inRange(0, 400))));
}

/// What is true of an endpoint, beside what the gateway knows of it.
struct TrueEndpoint {
  std::uint64_t m_incarnation = 1;
  bool m_leavingHeard = false;
  TimePoint m_pauseHeardAt{};
  TimePoint m_pauseEnd{};
  unsigned m_sentInPause = 0;
};

class World {
public:
  World() {
    for (unsigned I = 0; I < Endpoints; ++I)
      m_table.onRecord(record(I, 1), m_now);
  }

  void step(const Step &S) {
    m_now += Milliseconds(S.m_delayMs);
    const unsigned I = S.m_choice % Endpoints;
    const unsigned Rest = S.m_choice / Endpoints;
    switch (S.m_kind) {
    case StepKind::Choose:
      if (m_table.find(id(I)))
        m_placed.push_back(I);
      break;
    case StepKind::Send:
      send(Rest);
      break;
    case StepKind::Leaves:
    case StepKind::PeerLeaves:
      heard(I, true, {});
      break;
    case StepKind::Pauses:
    case StepKind::PeerPauses:
      heard(I, false, Milliseconds(50 * Rest));
      break;
    case StepKind::Record:
      m_table.onRecord(record(I, m_endpoints[I].m_incarnation), m_now);
      break;
    case StepKind::OldRecord:
      m_table.onRecord(record(I, earlier(I, Rest)), m_now);
      break;
    case StepKind::List:
      list(I, Rest);
      break;
    case StepKind::Remove:
      m_table.onRemoved(id(I), TimePoint(), m_now);
      break;
    case StepKind::Outage:
      m_table.onList({}, m_now + lapsedRecordGrace(Seconds(3)), m_now);
      break;
    case StepKind::Expire:
      m_table.expire(m_now);
      break;
    case StepKind::Restart:
      restart(I);
      break;
    }
  }

  /// Each endpoint restarts and registers as ready.
  void restartAll() {
    for (unsigned I = 0; I < Endpoints; ++I) {
      restart(I);
      m_table.onRecord(record(I, m_endpoints[I].m_incarnation), m_now);
    }
  }
  bool allMayBeSentTo() const {
    for (unsigned I = 0; I < Endpoints; ++I)
      if (!m_table.maySend(id(I), m_now))
        return false;
    return true;
  }
  bool sentAfterLeaving() const { return m_sentAfterLeaving; }
  bool sentInPause() const { return m_sentInPause; }

private:
  static std::string id(unsigned I) { return "e" + std::to_string(I); }
  static EndpointRecord record(unsigned I, std::uint64_t Incarnation) {
    EndpointRecord R;
    R.m_id = id(I);
    R.m_incarnation = Incarnation;
    R.m_service = "plain";
    // An endpoint may come back at another address or at the same one.
    R.m_address = "10.0.0." + std::to_string(I) + ':' +
                  std::to_string(80 + Incarnation / 2);
    R.m_slots = 8;
    return R;
  }
  std::uint64_t earlier(unsigned I, unsigned Age) const {
    const std::uint64_t Present = m_endpoints[I].m_incarnation;
    return Present - std::min<std::uint64_t>(Present - 1, Age % 3);
  }
  void list(unsigned I, unsigned Rest) {
    std::vector<EndpointRecord> Records;
    for (unsigned J = 0; J < Endpoints; ++J)
      if (J != I || Rest % 2 == 0)
        Records.push_back(record(J, earlier(J, Rest)));
    m_table.onList(Records, Rest % 4 < 2 ? TimePoint() : m_now + Seconds(1),
                   m_now);
  }
  /// A notice of the present incarnation, which its record may not show yet.
  void heard(unsigned I, bool Leaving, Duration Pause) {
    TrueEndpoint &E = m_endpoints[I];
    m_table.onNotice(id(I), {E.m_incarnation, Leaving, m_now + Pause, m_now});
    E.m_leavingHeard = E.m_leavingHeard || Leaving;
    if (m_now >= E.m_pauseEnd) {
      E.m_pauseHeardAt = m_now;
      E.m_sentInPause = 0;
    }
    E.m_pauseEnd = std::max(E.m_pauseEnd, m_now + Pause);
  }
  /// Sends one of the placed requests, some of them long after their placement.
  void send(unsigned Rest) {
    if (m_placed.empty())
      return;
    const std::size_t Index = Rest % m_placed.size();
    const unsigned I = m_placed[Index];
    m_placed.erase(m_placed.begin() + static_cast<std::ptrdiff_t>(Index));
    if (!m_table.maySend(id(I), m_now))
      return;
    TrueEndpoint &E = m_endpoints[I];
    m_sentAfterLeaving = m_sentAfterLeaving || E.m_leavingHeard;
    if (m_now >= E.m_pauseHeardAt + PauseGrace && m_now < E.m_pauseEnd &&
        ++E.m_sentInPause > MaxSentInPause)
      m_sentInPause = true;
  }
  void restart(unsigned I) {
    TrueEndpoint Next;
    Next.m_incarnation = m_endpoints[I].m_incarnation + 1;
    m_endpoints[I] = Next;
  }

  TimePoint m_now = Start;
  EndpointTable m_table;
  std::array<TrueEndpoint, Endpoints> m_endpoints;
  /// Endpoints of the requests that were granted, reserved or dispatched.
  std::vector<unsigned> m_placed;
  bool m_sentAfterLeaving = false;
  bool m_sentInPause = false;
};

} // namespace

// Guards against requests at an endpoint that is leaving (DRAIN) or wants none
// for some time (BUDGET), and against an endpoint that gets no work after its
// restart.
RC_GTEST_PROP(EndpointNotice, NoRequestIsSentAgainstOne, ()) {
  World W;
  const auto Steps = *rc::gen::scale(
      StepsScale, rc::gen::container<std::vector<Step>>(anyStep()));
  for (const Step &S : Steps) {
    W.step(S);
    RC_ASSERT(!W.sentAfterLeaving());
    RC_ASSERT(!W.sentInPause());
  }
  W.restartAll();
  RC_ASSERT(W.allMayBeSentTo());
}
