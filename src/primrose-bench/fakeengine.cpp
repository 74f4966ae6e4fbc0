// A small fake of a model engine in virtual time.
#include "primrose-bench/fakeengine.h"
#include "primroseworks/placement.h"

#include <algorithm>

namespace primroseworks::bench {

namespace {
// Weight of one step in the smoothed figures; a step takes about 30 ms, so they
// follow within a second.
constexpr double StepWeight = 0.05;
} // namespace

unsigned EngineFigures::batchWithin(double GapMillis) const {
  double Room = GapMillis - m_baseGapMillis - m_chunkTokens / m_prefillPerMilli;
  return std::clamp(
      static_cast<unsigned>(std::max(1.0, Room / m_gapPerSequence)), 1U,
      m_maxBatch);
}

double EngineFigures::cost(unsigned PromptTokens, unsigned Tokens,
                           unsigned Batch) const {
  return PromptTokens / m_prefillPerMilli +
         Tokens * (m_baseGapMillis / Batch + m_gapPerSequence);
}

bool FakeEngine::submit(EngineJob Job) {
  if (!resident(Job.m_model))
    return false;
  if (!Job.m_adapter.empty()) {
    bool Found = false;
    for (const auto &[A, Bytes] : m_resident)
      Found |= A.m_kind == ArtifactKind::Adapter && A.m_name == Job.m_adapter;
    if (!Found)
      return false;
  }
  m_waiting[m_usePriority ? static_cast<std::size_t>(Job.m_rank) : 0].push_back(
      std::move(Job));
  return true;
}

std::optional<EngineJob> FakeEngine::cancel(const std::string &Id) {
  auto Same = [&](const EngineJob &Job) { return Job.m_id == Id; };
  for (auto &Queue : m_waiting) {
    auto It = std::find_if(Queue.begin(), Queue.end(), Same);
    if (It != Queue.end()) {
      EngineJob Job = std::move(*It);
      Queue.erase(It);
      return Job;
    }
  }
  auto It = std::find_if(m_running.begin(), m_running.end(), Same);
  if (It == m_running.end())
    return std::nullopt;
  EngineJob Job = std::move(*It);
  m_reservedTokens -= Job.m_reservedTokens;
  m_running.erase(It);
  return Job;
}

std::vector<EngineJob> FakeEngine::takeAll() {
  std::vector<EngineJob> All = std::move(m_running);
  m_running.clear();
  for (auto &Queue : m_waiting) {
    std::move(Queue.begin(), Queue.end(), std::back_inserter(All));
    Queue.clear();
  }
  m_reservedTokens = 0;
  return All;
}

unsigned FakeEngine::cachedTokens(const EngineJob &Job) {
  unsigned Tokens = 0;
  for (std::uint64_t Hash : Job.m_prefixHashes) {
    auto It = m_cache.find(Hash);
    if (It == m_cache.end())
      break;
    m_cacheOrder.splice(m_cacheOrder.end(), m_cacheOrder, It->second);
    Tokens += PrefixBlockTokens;
  }
  // The last token is always computed, to produce the first one of the answer.
  return Job.m_promptTokens == 0 ? 0 : std::min(Tokens, Job.m_promptTokens - 1);
}

void FakeEngine::evictCache(std::size_t TokensNeeded) {
  while (!m_cacheOrder.empty() &&
         m_reservedTokens + m_cache.size() * PrefixBlockTokens + TokensNeeded >
             m_figures.m_cacheTokens) {
    const auto &[Model, Hash] = m_cacheOrder.front();
    m_events.push_back({++m_eventSequence, false, Model, Hash});
    m_cache.erase(Hash);
    m_cacheOrder.pop_front();
  }
}

void FakeEngine::store(const EngineJob &Job) {
  for (std::uint64_t Hash : Job.m_prefixHashes) {
    if (m_cache.count(Hash) != 0)
      continue;
    evictCache(PrefixBlockTokens);
    m_cacheOrder.emplace_back(Job.m_model.m_name, Hash);
    m_cache[Hash] = std::prev(m_cacheOrder.end());
    m_events.push_back({++m_eventSequence, true, Job.m_model.m_name, Hash});
  }
}

bool FakeEngine::reserve(EngineJob &Job) {
  std::size_t Needed = Job.m_promptTokens + Job.m_maxTokens;
  if (m_reservedTokens + Needed > m_figures.m_cacheTokens)
    return false;
  evictCache(Needed);
  Job.m_reservedTokens = static_cast<unsigned>(Needed);
  m_reservedTokens += Needed;
  return true;
}

void FakeEngine::admit() {
  for (auto &Queue : m_waiting)
    while (!Queue.empty() && m_running.size() < m_figures.m_maxBatch) {
      EngineJob &Job = Queue.front();
      unsigned Cached = cachedTokens(Job);
      if (!reserve(Job))
        return;
      Job.m_cachedTokens = Cached;
      Job.m_prefilled = Cached;
      m_running.push_back(std::move(Job));
      Queue.pop_front();
    }
}

// One chunk of prompt tokens, for the most urgent sequences first. Returns its
// tokens.
unsigned FakeEngine::prefill() {
  unsigned Chunk = 0;
  for (const auto &Row : RankNames)
    for (EngineJob &Job : m_running) {
      if (m_usePriority && Job.m_rank != Row.m_value)
        continue;
      unsigned Part = std::min(Job.m_promptTokens - Job.m_prefilled,
                               m_figures.m_chunkTokens - Chunk);
      Job.m_prefilled += Part;
      Chunk += Part;
    }
  return Chunk;
}

double FakeEngine::beginStep() {
  admit();
  LoadReport Batch;
  Batch.m_running = static_cast<unsigned>(m_running.size());
  Batch.m_maxBatch = m_figures.m_maxBatch;
  m_utilization += StepWeight * (throughputShare(Batch) - m_utilization);
  if (m_running.empty()) {
    m_stepping = false;
    return 0;
  }
  m_stepping = true;
  unsigned Chunk = prefill();
  double Millis =
      m_figures.m_baseGapMillis +
      m_figures.m_gapPerSequence * static_cast<double>(m_running.size()) +
      Chunk / m_figures.m_prefillPerMilli;
  m_gapMillis += StepWeight * (Millis - m_gapMillis);
  return Millis;
}

StepResult FakeEngine::endStep() {
  StepResult Result;
  for (auto It = m_running.begin(); It != m_running.end();) {
    if (It->m_prefilled < It->m_promptTokens) {
      ++It;
      continue;
    }
    if (++It->m_generated == 1) {
      store(*It);
      Result.m_firstTokens.push_back(It->m_id);
    }
    if (It->m_generated >= It->m_maxTokens) {
      m_reservedTokens -= It->m_reservedTokens;
      Result.m_finished.push_back(std::move(*It));
      It = m_running.erase(It);
    } else {
      ++It;
    }
  }
  return Result;
}

bool FakeEngine::claim(const Artifact &A, std::uint64_t Bytes) {
  if (m_resident.count(A) != 0 || m_loading.count(A) != 0 ||
      m_figures.m_kvBytes + m_claimed + Bytes > m_figures.m_memoryBytes)
    return false;
  m_claimed += Bytes;
  m_loading[A] = Bytes;
  return true;
}

void FakeEngine::finishLoad(const Artifact &A) {
  auto It = m_loading.find(A);
  if (It == m_loading.end())
    return;
  m_resident[A] = It->second;
  m_loading.erase(It);
}

void FakeEngine::unload(const Artifact &A) {
  auto It = m_resident.find(A);
  if (It == m_resident.end())
    return;
  m_claimed -= It->second;
  m_resident.erase(It);
  m_draining.erase(A);
}

bool FakeEngine::inUse(const Artifact &A) const {
  auto Uses = [&](const EngineJob &Job) {
    return A.m_kind == ArtifactKind::Model ? Job.m_model == A
                                           : Job.m_adapter == A.m_name;
  };
  bool Used = std::any_of(m_running.begin(), m_running.end(), Uses);
  for (const auto &Queue : m_waiting)
    Used |= std::any_of(Queue.begin(), Queue.end(), Uses);
  return Used;
}

LoadReport FakeEngine::report() {
  if (!m_stepping)
    m_utilization /= 2;
  LoadReport Report;
  Report.m_sequence = ++m_reportSequence;
  Report.m_runId = 1;
  Report.m_running = static_cast<unsigned>(m_running.size());
  for (const auto &Queue : m_waiting)
    for (const EngineJob &Job : Queue) {
      ++Report.m_queued;
      Report.m_queuedPromptTokens += Job.m_promptTokens;
    }
  Report.m_maxBatch = m_figures.m_maxBatch;
  Report.m_prefillTokensPerSecond = m_figures.m_prefillPerMilli * 1000;
  Report.m_tokenGapMillis = m_gapMillis;
  std::uint64_t PerToken = m_figures.m_kvBytes / m_figures.m_cacheTokens;
  Report.m_kvUsedBytes =
      PerToken * (m_reservedTokens + m_cache.size() * PrefixBlockTokens);
  Report.m_kvTotalBytes = m_figures.m_kvBytes;
  Report.m_memoryBytes = m_figures.m_memoryBytes;
  for (const auto &[A, Bytes] : m_resident)
    Report.m_resident.push_back({A, Bytes});
  return Report;
}

std::vector<CacheEvent> FakeEngine::takeCacheEvents() {
  return std::exchange(m_events, {});
}

} // namespace primroseworks::bench
