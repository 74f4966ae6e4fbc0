// Simulated fleet for tests of the quotas: agents, owners and VMs that exchange
// messages over a network with delays, losses and partitions, in simulated
// time.
#ifndef PRIMROSEWORKS_LIBQUOTA_QUOTASIM_FAKE_H
#define PRIMROSEWORKS_LIBQUOTA_QUOTASIM_FAKE_H

#include "libquota/quotaagent.h"
#include "libquota/quotacharge.h"
#include "libquota/quotaowner.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace primroseworks::quota::testing {

inline BootTime at(double Seconds) {
  return BootTime{} + fromSeconds(1000 + Seconds);
}

class FixedLimits final : public QuotaLimits {
public:
  const QuotaLimit *find(const std::string &Account) const override {
    const auto It = m_limits.find(Account);
    return It == m_limits.end() ? nullptr : &It->second;
  }
  std::uint64_t version() const override { return m_version; }
  bool any() const override { return !m_limits.empty(); }

  std::map<std::string, QuotaLimit> m_limits;
  std::uint64_t m_version = 1;
};

struct SimOptions {
  unsigned m_vms = 9;
  unsigned m_agents = 9; ///< The first ones of the VMs.
  double m_loss = 0;
  double m_repeat = 0; ///< Share of datagrams that arrive twice.
  unsigned m_seed = 1;
};

/// A request's arrival and its cost, if it ran.
struct SimRun {
  BootTime m_arrived{};
  Amount m_cost = 0;
};

class QuotaSim {
public:
  explicit QuotaSim(SimOptions Options)
      : m_options(Options), m_random(Options.m_seed) {
    for (unsigned I = 0; I < Options.m_vms; ++I) {
      m_nodes.push_back(std::make_unique<Node>());
      m_nodes[I]->m_name = "vm" + std::to_string(I);
      restart(I);
      tick(I);
    }
    storeStep();
  }

  struct Node {
    std::string m_name;
    std::uint64_t m_start = 0;
    bool m_alive = true;
    BootTime m_frozenUntil{};
    int m_side = 0; ///< Nodes of different sides are partitioned.
    bool m_storeReachable = true;
    BootTime m_leaseUntil{};   ///< At the store.
    std::uint64_t m_token = 0; ///< Of its claim; 0: none.
    BootTime m_claimValidUntil{};
    unsigned m_leader = 0; ///< That this node knows.
    std::set<std::string> m_list;
    AgentList m_agents;
    std::unique_ptr<QuotaAgent> m_agent;
    std::unique_ptr<QuotaOwner> m_owner;
    std::map<std::uint64_t, std::pair<QuotaCharge, BootTime>> m_charges;
  };

  /// Starts the process of a VM anew.
  void restart(unsigned I) {
    Node &N = *m_nodes[I];
    N.m_alive = true;
    N.m_start = ++m_starts;
    N.m_charges.clear();
    N.m_owner.reset();
    N.m_token = 0;
    N.m_agents = AgentList();
    N.m_agent =
        std::make_unique<QuotaAgent>(N.m_name, N.m_start, m_bounds, m_now);
  }
  void kill(unsigned I) { m_nodes[I]->m_alive = false; }
  void freeze(unsigned I, double Seconds) {
    m_nodes[I]->m_frozenUntil = m_now + fromSeconds(Seconds);
  }
  void at(double Time, std::function<void()> Do) {
    schedule(testing::at(Time), std::move(Do));
  }
  void run(double Until) {
    while (!m_events.empty() && m_events.top().m_at <= testing::at(Until)) {
      const Event E = m_events.top();
      m_events.pop();
      m_now = E.m_at;
      E.m_do();
    }
    m_now = testing::at(Until);
  }
  /// Requests of account "a" from Begin to End, at Rate cost units a second,
  /// at VMs that Pick chooses.
  void load(double Begin, double End, double Rate, Amount Cost,
            const std::function<unsigned()> &Pick) {
    at(Begin, [=] { arrive(End, Rate, Cost, Pick); });
  }
  double time() const { return toSeconds(m_now.time_since_epoch()); }
  unsigned number() { return m_random(); }
  unsigned any() { return m_random() % m_options.m_vms; }
  unsigned leader() const {
    for (unsigned I = 0; I < m_nodes.size(); ++I)
      if (m_nodes[I]->m_token != 0 && m_nodes[I]->m_token == m_storeToken)
        return I;
    return 0;
  }

  /// Largest cost that ran of the arrivals in a window of the bounds, less what
  /// it may be under Limit. Only windows that begin at From or later.
  double worstExcess(const QuotaLimit &Limit, double From = 0) const {
    std::vector<SimRun> Runs = m_runs;
    std::sort(Runs.begin(), Runs.end(), [](const SimRun &A, const SimRun &B) {
      return A.m_arrived < B.m_arrived;
    });
    const double Max =
        (Limit.m_ratePerSecond * toSeconds(m_bounds.m_window) + Limit.m_burst) *
            (1 + m_bounds.m_over) +
        m_bounds.m_slack;
    double Worst = -Max;
    double Sum = 0;
    std::size_t First = 0;
    for (const SimRun &R : Runs) {
      if (R.m_arrived < testing::at(From)) {
        ++First;
        continue;
      }
      Sum += static_cast<double>(R.m_cost);
      while (R.m_arrived - Runs[First].m_arrived > m_bounds.m_window)
        Sum -= static_cast<double>(Runs[First++].m_cost);
      Worst = std::max(Worst, Sum - Max);
    }
    return Worst;
  }
  double ran(double From, double To) const {
    double Sum = 0;
    for (const SimRun &R : m_runs)
      if (R.m_arrived >= testing::at(From) && R.m_arrived < testing::at(To))
        Sum += static_cast<double>(R.m_cost);
    return Sum;
  }

  QuotaBounds m_bounds;
  FixedLimits m_limits;
  SimOptions m_options;
  std::vector<std::unique_ptr<Node>> m_nodes;
  bool m_storeUp = true;
  /// Share of granted requests that do not run, and when that is known.
  double m_notRun = 0;
  std::vector<SimRun> m_runs;
  std::map<QuotaStatus, unsigned> m_results;
  /// Account of the next request.
  std::function<std::string()> m_account = [] { return "a"; };
  /// Called with the sender, the receiver and the message.
  std::function<void(unsigned, unsigned, const QuotaMessage &)> m_onSend;

private:
  struct Event {
    BootTime m_at{};
    std::uint64_t m_order = 0;
    std::function<void()> m_do;
    bool operator<(const Event &O) const {
      return std::tie(O.m_at, O.m_order) < std::tie(m_at, m_order);
    }
  };
  void schedule(BootTime Time, std::function<void()> Do) {
    m_events.push({Time, ++m_order, std::move(Do)});
  }
  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }
  /// Runs Do at a node, after its freeze if it is frozen, unless its process
  /// has ended.
  void runAt(unsigned I, BootTime Time, const std::function<void()> &Do) {
    const std::uint64_t Start = m_nodes[I]->m_start;
    schedule(Time, [=] {
      Node &N = *m_nodes[I];
      if (!N.m_alive || N.m_start != Start)
        return;
      if (N.m_frozenUntil > m_now)
        return runAt(I, N.m_frozenUntil, Do);
      Do();
    });
  }
  void send(unsigned From, unsigned To, const QuotaMessage &Message,
            const std::function<void()> &Deliver) {
    if (From == To)
      return Deliver();
    if (m_onSend)
      m_onSend(From, To, Message);
    if (m_nodes[From]->m_side != m_nodes[To]->m_side ||
        uniform() < m_options.m_loss)
      return;
    const unsigned Copies = uniform() < m_options.m_repeat ? 2 : 1;
    for (unsigned C = 0; C < Copies; ++C)
      runAt(To, m_now + Milliseconds(1) + fromSeconds(uniform() * 0.008),
            Deliver);
  }
  unsigned index(const std::string &Name) const {
    return static_cast<unsigned>(std::stoul(Name.substr(2)));
  }
  bool isAgent(unsigned I) const { return I < m_options.m_agents; }

  /// Every 100 ms: leases, the leader key and the lists, as gateways see them.
  void storeStep() {
    if (m_storeUp) {
      std::set<std::string> Present;
      for (auto &N : m_nodes) {
        const bool Renews =
            N->m_alive && N->m_storeReachable && N->m_frozenUntil <= m_now;
        if (Renews)
          N->m_leaseUntil = m_now + Seconds(2);
        if (N->m_leaseUntil > m_now && isAgent(index(N->m_name)))
          Present.insert(N->m_name);
        if (Renews && N->m_token != 0 && N->m_token == m_storeToken)
          N->m_claimValidUntil = m_now + Milliseconds(1700);
      }
      stepLeader();
      for (auto &N : m_nodes) {
        if (!N->m_alive || !N->m_storeReachable || N->m_frozenUntil > m_now)
          continue;
        N->m_agents.addKnown(m_storedAgents, m_now);
        N->m_agents.set(Present, m_now);
        if (N->m_token != 0 && N->m_token == m_storeToken)
          m_storedAgents = N->m_agents.reserved(m_now);
        N->m_list = Present;
        N->m_agent->onListConfirmed(m_now);
        N->m_leader = m_storeLeader;
      }
    }
    schedule(m_now + Milliseconds(100), [this] { storeStep(); });
  }
  void stepLeader() {
    Node &L = *m_nodes[m_storeLeader];
    if (m_storeToken != 0 && L.m_leaseUntil > m_now && L.m_alive &&
        L.m_token == m_storeToken)
      return;
    if (L.m_leaseUntil > m_now && m_storeToken != 0)
      return; // Its lease still holds the key.
    for (unsigned I = 0; I < m_nodes.size(); ++I) {
      Node &N = *m_nodes[I];
      if (!N.m_alive || !N.m_storeReachable || N.m_frozenUntil > m_now)
        continue;
      m_storeLeader = I;
      m_storeToken = ++m_tokens;
      N.m_token = m_storeToken;
      N.m_claimValidUntil = m_now + Milliseconds(1700);
      return;
    }
  }

  void tick(unsigned I) {
    Node &N = *m_nodes[I];
    if (N.m_alive && N.m_frozenUntil <= m_now && isAgent(I)) {
      deliver(I, N.m_agent->expire(N.m_agents, m_limits, m_now));
      askOwner(I);
    }
    schedule(std::max(m_now + Milliseconds(10), N.m_frozenUntil),
             [this, I] { tick(I); });
  }
  void askOwner(unsigned I) {
    Node &N = *m_nodes[I];
    const auto Request = N.m_agent->nextRequest(N.m_agents, m_limits, m_now);
    if (!Request)
      return;
    const unsigned Leader = N.m_leader;
    send(I, Leader, *Request, [this, I, Leader, Request = *Request] {
      Node &L = *m_nodes[Leader];
      if (L.m_token == 0 || m_now >= L.m_claimValidUntil)
        return;
      if (!L.m_owner || L.m_owner->token() != L.m_token)
        L.m_owner = std::make_unique<QuotaOwner>(L.m_token, m_bounds, m_now);
      const CreditReply Reply =
          L.m_owner->onRequest(Request, L.m_agents, m_limits, m_now);
      send(Leader, I, Reply, [this, I, Reply] {
        deliver(I, m_nodes[I]->m_agent->onReply(Reply, m_limits, m_now));
        askOwner(I);
      });
    });
  }
  void deliver(unsigned Agent, const std::vector<QuotaReply> &Replies) {
    for (const QuotaReply &R : Replies) {
      const unsigned Vm = index(R.m_ticket.m_sender);
      send(Agent, Vm, R, [this, Vm, R] { onReply(Vm, R); });
    }
  }

  void arrive(double End, double Rate, Amount Cost,
              const std::function<unsigned()> &Pick) {
    if (m_now >= testing::at(End))
      return;
    request(Pick(), Cost);
    const double Pause = std::exponential_distribution<double>(
        Rate / static_cast<double>(Cost))(m_random);
    schedule(m_now + fromSeconds(Pause),
             [=] { arrive(End, Rate, Cost, Pick); });
  }
  void request(unsigned Vm, Amount Cost) {
    const BootTime Arrived = m_now;
    if (!m_nodes[Vm]->m_alive)
      return;
    runAt(Vm, m_now, [=] {
      Node &N = *m_nodes[Vm];
      std::vector<std::string> Agents;
      if (isAgent(Vm))
        Agents.push_back(N.m_name);
      std::vector<std::string> Others(N.m_list.begin(), N.m_list.end());
      for (std::size_t I = 0; I < Others.size(); ++I) {
        const std::string &Other = Others[(I + Vm) % Others.size()];
        if (Other != N.m_name)
          Agents.push_back(Other);
      }
      const std::uint64_t Number = ++m_numbers;
      QuotaRequest R{{N.m_name, N.m_start, Number}, m_account(), Cost};
      const auto [It, IsNew] = N.m_charges.emplace(
          Number, std::pair(QuotaCharge(R, Agents, m_now), Arrived));
      apply(Vm, Number, It->second.first.start(m_now));
    });
  }
  void apply(unsigned Vm, std::uint64_t Number, const ChargeStep &Step) {
    Node &N = *m_nodes[Vm];
    if (Step.m_result)
      return finish(Vm, Number, *Step.m_result);
    runAt(Vm, Step.m_wakeAt, [=] {
      Node &Self = *m_nodes[Vm];
      const auto It = Self.m_charges.find(Number);
      if (It != Self.m_charges.end())
        apply(Vm, Number, It->second.first.onTimer(m_now));
    });
    if (Step.m_sendTo.empty())
      return;
    const unsigned To = index(Step.m_sendTo);
    const QuotaRequest R = N.m_charges.at(Number).first.request();
    send(Vm, To, R, [this, To, R] {
      Node &A = *m_nodes[To];
      deliver(To, {A.m_agent->onRequest(R, A.m_agents, m_limits, m_now)});
      askOwner(To);
    });
  }
  void onReply(unsigned Vm, const QuotaReply &R) {
    Node &N = *m_nodes[Vm];
    const auto It = N.m_charges.find(R.m_ticket.m_number);
    if (It != N.m_charges.end() && R.m_ticket.m_start == N.m_start)
      apply(Vm, R.m_ticket.m_number, It->second.first.onReply(R, m_now));
  }
  void finish(unsigned Vm, std::uint64_t Number, const ChargeResult &Result) {
    Node &N = *m_nodes[Vm];
    const auto It = N.m_charges.find(Number);
    const QuotaRequest R = It->second.first.request();
    const BootTime Arrived = It->second.second;
    N.m_charges.erase(It);
    ++m_results[Result.m_status];
    if (Result.m_status != QuotaStatus::Granted)
      return;
    if (uniform() >= m_notRun) {
      m_runs.push_back({Arrived, R.m_cost});
      return;
    }
    const unsigned Agent = index(Result.m_agent);
    runAt(Vm, m_now + fromSeconds(uniform() * 0.3), [=] {
      send(Vm, Agent, QuotaRefund{R.m_ticket}, [=] {
        m_nodes[Agent]->m_agent->onRefund({R.m_ticket}, m_limits, m_now);
      });
    });
  }

  std::mt19937_64 m_random;
  BootTime m_now = testing::at(0);
  std::priority_queue<Event> m_events;
  std::uint64_t m_order = 0;
  std::uint64_t m_starts = 0;
  std::uint64_t m_numbers = 0;
  std::uint64_t m_tokens = 0;
  std::uint64_t m_storeToken = 0;
  unsigned m_storeLeader = 0;
  std::set<std::string> m_storedAgents; ///< That the leader wrote last.
};

} // namespace primroseworks::quota::testing

#endif
