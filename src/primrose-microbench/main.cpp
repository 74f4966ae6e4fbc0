// Micro-benchmark of decisions: the time of one grant by the number of
// endpoints known, and of a poll with many requests waiting. Every model has a
// tenth of the endpoints, but at least 4; there are as many models as the
// target size has for that many endpoints.
#include "primroseworks/dispatcher.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <string>
#include <vector>

namespace {
using namespace primroseworks;

/// Models known at the target size.
constexpr int ModelsMax = 850;
constexpr int EndpointsMax = 3700;

/// A dispatcher with idle endpoints.
class Fleet {
public:
  explicit Fleet(int Endpoints)
      : m_models(std::max(4, Endpoints * ModelsMax / EndpointsMax)) {
    DispatcherOptions Options;
    Options.m_region = "region-0";
    m_dispatcher = std::move(createDispatcher(Options)).value();
    m_dispatcher->setCatalog(std::make_shared<Catalog>(), m_now);
    int Replicas = std::max(4, Endpoints / 10);
    for (int E = 0; E < Endpoints; ++E)
      m_dispatcher->setEndpoint({endpoint(E), "region-" + std::to_string(E % 4),
                                 "domain-" + std::to_string(E % 15),
                                 EndpointState::Live},
                                m_now);
    std::vector<LoadReport> Reports(static_cast<std::size_t>(Endpoints));
    for (int M = 0; M < m_models; ++M)
      for (int R = 0; R < Replicas; ++R) {
        auto E = static_cast<std::size_t>((M * 7 + R) % Endpoints);
        Reports[E].m_resident.push_back(
            {{ArtifactKind::Model, model(M), "1"}, 1});
      }
    for (int E = 0; E < Endpoints; ++E) {
      LoadReport &Report = Reports[static_cast<std::size_t>(E)];
      Report.m_sequence = 1;
      Report.m_runId = 1;
      Report.m_running = static_cast<unsigned>(E % 16);
      Report.m_maxBatch = 64;
      Report.m_tokenGapMillis = 10 + E % 16;
      Report.m_prefillTokensPerSecond = 60000;
      m_dispatcher->onReport(endpoint(E), Report, m_now);
    }
  }

  DispatchRequest request(const std::string &Model) {
    DispatchRequest R;
    R.m_id = std::to_string(m_next++);
    R.m_caller = "caller-" + std::to_string(m_next % 50);
    R.m_model = Model;
    R.m_version = "1";
    R.m_rank = static_cast<Rank>(m_next % 3);
    R.m_promptTokens = 600;
    R.m_maxTokens = 100;
    R.m_deadline = m_now + Seconds(10);
    R.m_fingerprint = static_cast<std::uint64_t>(m_next);
    for (int I = 0; I < 10; ++I)
      R.m_prefixHashes.push_back(
          static_cast<std::uint64_t>(m_next % 200 * 16 + I));
    return R;
  }
  std::string nextModel() { return model(m_next % m_models); }
  static std::string endpoint(int E) { return "engine-" + std::to_string(E); }
  static std::string model(int M) { return "model-" + std::to_string(M); }

  std::unique_ptr<Dispatcher> m_dispatcher;
  TimePoint m_now{Seconds(1000)};

private:
  int m_models;
  int m_next = 0;
};

/// One request from submit to its end: a decision with everything it records.
void grantOne(benchmark::State &State) {
  Fleet F(static_cast<int>(State.range(0)));
  StreamEnd End{100, 600, 0, "stop"};
  std::size_t Grants = 0;
  for (auto _ : State) {
    F.m_now += Milliseconds(1);
    DispatchRequest R = F.request(F.nextModel());
    std::string Id = R.m_id;
    F.m_dispatcher->submit(std::move(R), F.m_now);
    Decisions Got = F.m_dispatcher->poll(F.m_now);
    Grants += Got.m_grants.size();
    F.m_dispatcher->onFirstToken(Id, F.m_now);
    F.m_dispatcher->onFinished(Id, AttemptOutcome::Completed, &End, F.m_now);
  }
  State.counters["grants"] = benchmark::Counter(
      static_cast<double>(Grants), benchmark::Counter::kAvgIterations);
}
BENCHMARK(grantOne)->Arg(10)->Arg(100)->Arg(1000)->Arg(EndpointsMax);

/// A poll each 20 ms while 1,500 requests wait for models that nobody holds.
void pollWaiting(benchmark::State &State) {
  Fleet F(static_cast<int>(State.range(0)));
  for (int I = 0; I < 1500; ++I) {
    DispatchRequest R = F.request("absent-" + std::to_string(I % 100));
    R.m_deadline = F.m_now + Seconds(1000000);
    F.m_dispatcher->submit(std::move(R), F.m_now);
  }
  // Stays below the shortest queue time, so that nothing expires.
  for (auto _ : State) {
    F.m_now += std::chrono::microseconds(1);
    benchmark::DoNotOptimize(F.m_dispatcher->poll(F.m_now));
  }
}
BENCHMARK(pollWaiting)->Arg(10)->Arg(EndpointsMax);

/// A load report of one endpoint.
void report(benchmark::State &State) {
  Fleet F(static_cast<int>(State.range(0)));
  LoadReport R;
  R.m_runId = 1;
  R.m_maxBatch = 64;
  R.m_running = 8;
  R.m_tokenGapMillis = 15;
  R.m_prefillTokensPerSecond = 60000;
  for (int M = 0; M < 4; ++M)
    R.m_resident.push_back({{ArtifactKind::Model, Fleet::model(M), "1"}, 1});
  for (auto _ : State) {
    F.m_now += Milliseconds(1);
    ++R.m_sequence;
    F.m_dispatcher->onReport("engine-1", R, F.m_now);
  }
}
BENCHMARK(report)->Arg(10)->Arg(EndpointsMax);
} // namespace

BENCHMARK_MAIN();
