// Tests of the placement policy, including a simulated shift of demand.
#include "libgateway/placement.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {

const TimePoint Start = TimePoint() + Seconds(100);

EngineSpec spec(unsigned Models) {
  EngineSpec S;
  S.m_slots = 64;
  S.m_memoryMb = 230000;
  S.m_adapterSlots = 8;
  S.m_loadsPerSecond = 1.2;
  for (unsigned I = 0; I < Models; ++I)
    S.m_models["m" + std::to_string(I)] =
        EngineModel{72700, 66, Milliseconds(2400)};
  return S;
}

/// Sets the occupancy of an engine to what it holds, loads and unloads.
void occupy(PlacementEngine &E) {
  E.m_occupancy = Occupancy();
  for (const HeldModel &M : E.m_held)
    E.m_occupancy.add(M);
  for (const std::string &M : E.m_loading)
    E.m_occupancy.add({M, ""});
  for (const auto &Changing : {E.m_loadingAdapters, E.m_unloading})
    for (const ArtifactName &A : Changing)
      E.m_occupancy.add(A);
}

/// Plans moves at engines that hold what the input says.
std::vector<PlacementMove> plan(const EngineSpec &Spec, PlacementInput In,
                                TimePoint Now) {
  for (PlacementEngine &E : In.m_engines)
    occupy(E);
  return planPlacement(Spec, In, Now);
}

PlacementEngine engine(const std::string &Id, std::vector<std::string> Models) {
  PlacementEngine E;
  E.m_id = Id;
  for (std::string &M : Models)
    E.m_held.push_back(HeldModel{std::move(M), 1, {}});
  return E;
}

/// Simulates nine engines with a load time of 2.4 s (2.9 s from the order).
/// Requests are spread evenly over the copies of their model.
class Fleet {
public:
  Fleet() : m_spec(spec(17)), m_limiter(1.2, 3) {
    // m0 is in demand: it has a copy on every engine, in the memory that the
    // single copies of the 16 other models leave free.
    for (unsigned I = 0; I < 9; ++I)
      m_engines.push_back(engine("e" + std::to_string(I), {"m0"}));
    unsigned At = 0;
    for (unsigned M = 1; M < 17; ++M, At = (At + 1) % 9)
      m_engines[At].m_held.push_back(HeldModel{"m" + std::to_string(M), 1, {}});
  }

  void step(const std::map<std::string, ModelDemand> &Demand, TimePoint Now) {
    finishLoads(Now);
    spread(Demand);
    PlacementInput In;
    In.m_engines = m_engines;
    In.m_models = Demand;
    In.m_loadsAllowed = m_limiter.available(Now);
    for (const PlacementMove &M : plan(m_spec, In, Now))
      order(M, Now);
  }
  unsigned copies(const std::string &Model) const {
    unsigned Count = 0;
    for (const PlacementEngine &E : m_engines)
      for (const HeldModel &M : E.m_held)
        Count += M.m_name == Model ? 1 : 0;
    return Count;
  }
  const EngineSpec m_spec;
  std::vector<PlacementEngine> m_engines;
  unsigned m_loads = 0;

private:
  PlacementEngine &find(const std::string &Id) {
    return *std::find_if(
        m_engines.begin(), m_engines.end(),
        [&Id](const PlacementEngine &E) { return E.m_id == Id; });
  }
  void order(const PlacementMove &M, TimePoint Now) {
    PlacementEngine &E = find(M.m_engine);
    ASSERT_FALSE(E.m_busy);
    E.m_busy = true;
    const std::string Load =
        M.m_kind == OrderKind::Load ? M.m_model : M.m_replacementModel;
    if (M.m_kind == OrderKind::Unload)
      E.m_held.erase(std::find_if(
          E.m_held.begin(), E.m_held.end(),
          [&M](const HeldModel &H) { return H.m_name == M.m_model; }));
    E.m_loading = {Load};
    occupy(E);
    ASSERT_LE(E.m_occupancy.memoryMb(m_spec), m_spec.m_memoryMb);
    m_limiter.take(Now);
    ++m_loads;
    m_done[M.m_engine] = Now + Milliseconds(2900);
  }
  void finishLoads(TimePoint Now) {
    for (PlacementEngine &E : m_engines)
      if (E.m_busy && m_done[E.m_id] <= Now) {
        E.m_held.push_back(HeldModel{E.m_loading.front(), 1, {}});
        E.m_loading.clear();
        E.m_busy = false;
      }
  }
  void spread(const std::map<std::string, ModelDemand> &Demand) {
    for (PlacementEngine &E : m_engines)
      E.m_load = 0;
    for (const auto &[Name, D] : Demand)
      for (PlacementEngine &E : m_engines)
        for (const HeldModel &M : E.m_held)
          if (M.m_name == Name)
            E.m_load += D.m_running / copies(Name);
  }
  LoadLimiter m_limiter;
  std::map<std::string, TimePoint> m_done;
};

} // namespace

// Load pattern: within six seconds the demand moves from the model with the
// most copies to one with a single copy (braidwell scale-1). The latter must
// have four copies eight seconds after the start, loads must stay within the
// weight store's rate, and every model must keep at least one copy.
TEST(Placement, CopiesFollowAShiftOfDemand) {
  Fleet F;
  ASSERT_EQ(F.copies("m0"), 9U);
  for (int Ms = 0; Ms < 10000; Ms += 200) {
    const double Moved = std::min(1.0, Ms / 6000.0);
    std::map<std::string, ModelDemand> Demand;
    Demand["m0"] = {120 * (1 - Moved), 0, 40 * (1 - Moved)};
    Demand["m5"] = {120 * Moved, 0, 40 * Moved};
    F.step(Demand, Start + Milliseconds(Ms));
    for (const auto &[Name, Model] : F.m_spec.m_models)
      ASSERT_GE(F.copies(Name), 1U) << Name << " at " << Ms;
    if (Ms >= 8000) {
      ASSERT_GE(F.copies("m5"), 4U) << Ms;
    }
  }
  EXPECT_LE(F.m_loads, 1.2 * 10 + 3);
}

// Load pattern: an engine fails that holds the only copies of two models, while
// the other engines are busy. The models must be loaded again within the weight
// store's rate.
TEST(Placement, ModelsOfALostEngineReturn) {
  Fleet F;
  const PlacementEngine Lost = F.m_engines.front();
  F.m_engines.erase(F.m_engines.begin());
  for (int Ms = 0; Ms < 8000; Ms += 200) {
    std::map<std::string, ModelDemand> Demand;
    Demand["m0"] = {100, 0, 35};
    F.step(Demand, Start + Milliseconds(Ms));
  }
  for (const HeldModel &M : Lost.m_held)
    EXPECT_GE(F.copies(M.m_name), 1U) << M.m_name;
}

// Load pattern: an overloaded fleet in which one model has by far the most
// requests, but also the most copies, and another one more requests than its
// only copy has slots. Guards against a model that keeps a single full copy
// while all loads go to the model with the most requests.
TEST(Placement, CopiesGoWhereEachRelievesMost) {
  EngineSpec S = spec(4);
  S.m_slots = 12;
  PlacementInput In;
  for (unsigned I = 0; I < 20; ++I) {
    In.m_engines.push_back(
        engine("e" + std::to_string(I), {I < 10 ? "m0" : "m1", "m2"}));
    In.m_engines.back().m_load = I < 10 ? 12 : 4;
  }
  In.m_engines[0].m_held.push_back(HeldModel{"m3", 1, {}});
  In.m_models["m0"] = {120, 60, 90};
  In.m_models["m1"] = {40, 0, 20};
  In.m_models["m3"] = {12, 25, 15};
  In.m_loadsAllowed = 1;
  const std::vector<PlacementMove> Moves = plan(S, In, Start);
  ASSERT_EQ(Moves.size(), 1U);
  EXPECT_EQ(Moves[0].m_model, "m3");
}

TEST(Placement, AQuietFleetIsLeftAlone) {
  Fleet F;
  for (int Ms = 0; Ms < 5000; Ms += 200)
    F.step({{"m0", {20, 0, 8}}, {"m3", {3, 0, 1}}}, Start + Milliseconds(Ms));
  EXPECT_EQ(F.m_loads, 0U);
}

// Guards against slow moves: one took 9.4 s on braidwell scale-1, because an
// unload waits for the model's requests, which are slow on a full engine.
TEST(Placement, UnloadsNothingAtAFullEngine) {
  const EngineSpec S = spec(4);
  PlacementInput In;
  In.m_engines = {engine("full", {"m0", "m1", "m2"}),
                  engine("other", {"m0", "m1", "m2"})};
  In.m_engines[0].m_load = 60;
  In.m_engines[1].m_load = 60;
  In.m_models["m3"] = {0, 5, 2};
  In.m_loadsAllowed = 3;
  EXPECT_TRUE(plan(S, In, Start).empty());
  In.m_engines[1].m_load = 10;
  const std::vector<PlacementMove> Moves = plan(S, In, Start);
  ASSERT_EQ(Moves.size(), 1U);
  EXPECT_EQ(Moves[0].m_engine, "other");
  EXPECT_EQ(Moves[0].m_replacementModel, "m3");
}

TEST(Placement, WeightsAtHandNeedNoPlaceInTheStoresRate) {
  const EngineSpec S = spec(2);
  PlacementInput In;
  In.m_engines = {engine("cold", {"m0"}), engine("warm", {"m0"})};
  In.m_engines[1].m_cachedModels = {"m1"};
  In.m_models["m1"] = {0, 2, 1};
  In.m_loadsAllowed = 0;
  const std::vector<PlacementMove> Moves = plan(S, In, Start);
  ASSERT_EQ(Moves.size(), 1U);
  EXPECT_EQ(Moves[0].m_engine, "warm");
}

// Load pattern: more adapters are requested than an engine has slots for. The
// least recently used one is unloaded, unless requests wait for it or it was
// used within the idle timeout.
TEST(Placement, TheAdapterIdleLongestMakesRoom) {
  const EngineSpec S = spec(1);
  PlacementInput In;
  In.m_engines = {engine("e", {"m0"})};
  for (int I = 0; I < 8; ++I) {
    const std::string Name = "a" + std::to_string(I);
    In.m_engines[0].m_held[0].m_adapters.insert(Name);
    In.m_adapterLastUsed[{"m0", Name}] = Start - Seconds(10 - I);
  }
  In.m_wantedAdapters[{"m0", "a9"}] = 2;
  In.m_wantedAdapters[{"m0", "a0"}] = 1;
  std::vector<PlacementMove> Moves = plan(S, In, Start);
  ASSERT_EQ(Moves.size(), 1U);
  EXPECT_EQ(Moves[0].m_kind, OrderKind::Unload);
  EXPECT_EQ(Moves[0].m_adapter, "a1") << "a0 is idle longer, but wanted";
  for (auto &[Name, Used] : In.m_adapterLastUsed)
    Used = Start;
  EXPECT_TRUE(plan(S, In, Start).empty());
}

TEST(Placement, AnAdapterOnItsWayIsNotOrderedTwice) {
  const EngineSpec S = spec(1);
  PlacementInput In;
  In.m_engines = {engine("e1", {"m0"}), engine("e2", {"m0"})};
  In.m_engines[0].m_loadingAdapters = {{"m0", "a1"}};
  In.m_wantedAdapters[{"m0", "a1"}] = 3;
  EXPECT_TRUE(plan(S, In, Start).empty());
}

// Guards against a weight store that stays unused because orders for loads did
// not reach their engines.
TEST(LoadLimiter, LoadThatDidNotBeginCostsNothing) {
  LoadLimiter Limiter(1.2, 3);
  ASSERT_EQ(Limiter.available(Start), 1U);
  Limiter.take(Start);
  EXPECT_EQ(Limiter.available(Start), 0U);
  Limiter.giveBack(Start);
  EXPECT_EQ(Limiter.available(Start), 1U);
  for (int I = 0; I < 9; ++I)
    Limiter.giveBack(Start);
  EXPECT_EQ(Limiter.available(Start), 3U) << "never more than the burst";
}

// Guards against more loads in any window of five seconds than the weight store
// allows.
TEST(LoadLimiter, StaysBelowTheRateInEveryWindow) {
  LoadLimiter Limiter(1.2, 3);
  std::vector<int> Taken;
  for (int Ms = 0; Ms < 20000; Ms += 50)
    while (Limiter.available(Start + Milliseconds(Ms)) > 0) {
      Limiter.take(Start + Milliseconds(Ms));
      Taken.push_back(Ms);
    }
  for (int From = 0; From <= 15000; From += 50) {
    const auto Count = std::count_if(Taken.begin(), Taken.end(), [From](int T) {
      return T >= From && T < From + 5000;
    });
    EXPECT_LE(Count, 1.2 * 5 * 1.1 + 3) << From;
  }
}
