// Batch loop, streams and orders of a stand-in engine.
#include "primrose-standins/engine.h"

#include "primrose-standins/prefixcache.h"
#include "primrose-standins/tokens.h"
#include "primroseworks/prompt.h"

#include <algorithm>
#include <condition_variable>
#include <deque>

namespace primroseworks::standins {
namespace {

using Json = nlohmann::json;

constexpr Milliseconds CommentInterval{1000}; ///< Heartbeat on streams.
constexpr Milliseconds SnapshotInterval{50};  ///< Between load reports.
constexpr unsigned PrefillChunkTokens = 2048; ///< Most prefilled in one step.
constexpr Seconds KeepFinished{60};   ///< How long a stream can be resumed.
constexpr Seconds AbandonedAfter{10}; ///< A stream without a reader ends.

/// One request in the engine.
struct Sequence {
  std::string m_id;
  std::string m_model;
  std::string m_adapter;
  std::string m_prompt;
  Rank m_rank = Rank::Standard;
  unsigned m_maxTokens = 0;
  unsigned m_next = 0; ///< Index of the next token to generate.
  unsigned m_promptTokens = 0;
  unsigned m_cachedTokens = 0;
  unsigned m_prefillLeft = 0;
  unsigned m_readers = 0;
  bool m_done = false;
  std::string m_finish;
  TimePoint m_lastRead; ///< When the last reader left.
};
using SequencePtr = std::shared_ptr<Sequence>;

struct Order {
  OrderKind m_kind = OrderKind::Load;
  ResidentArtifact m_held;
  std::string m_role;
  std::uint64_t m_fence = 0;
  std::uint64_t m_prefixHash = 0;
  OrderState m_state = OrderState::Pending;
};

/// How a stream is disturbed; counted faults are used up when it starts.
struct StreamFaults {
  bool m_crossed = false;
  bool m_late = false;
  bool m_doubled = false;
  bool m_truncated = false;
  double m_silentEpoch = 0; ///< Streams begun before a newer epoch go silent.
};

std::string eventText(const Json &Body) {
  return "data: " + Body.dump() + "\n\n";
}

std::string tokenText(const std::string &Id, const std::string &Prompt,
                      unsigned Index) {
  return eventText({{"request_id", Id},
                    {"index", Index},
                    {"token", tokenAt(Prompt, Index)}});
}

class Engine final : public Program,
                     public std::enable_shared_from_this<Engine> {
public:
  Engine(const EngineSettings &Settings, std::uint64_t RunId, bool Restarted,
         Faults &Switches, Ledger &Book, WeightStore &Store)
      : m_settings(Settings), m_runId(RunId), m_faults(Switches), m_book(Book),
        m_store(Store),
        m_cache(Settings.m_kvBytes /
                    (Settings.m_kvBytesPerToken * PrefixBlockTokens),
                Settings.m_cacheEventLoss, RunId) {
    if (!Restarted)
      m_resident = Settings.m_resident;
    if (usedBytes() > Settings.m_memoryBytes)
      m_book.flag("memory_exceeded", Settings.m_vm.m_name + " at start");
    m_thread = std::thread([this] { run(); });
  }
  ~Engine() override {
    die();
    m_thread.join();
  }

  void die() override {
    Program::die();
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_changed.notify_all();
  }

  void handle(const HttpRequest &Request, HttpResponse &Response) override {
    try {
      route(Request, Response);
    } catch (const Json::exception &Failure) {
      refuse(Response, 400, Failure.what());
    }
  }

  bool isWork(const HttpRequest &Request) const override {
    return Request.m_path == "/v1/completions";
  }

  void tick(TimePoint Now) override {
    std::vector<std::pair<std::string, Order>> Due;
    {
      std::lock_guard<std::mutex> Lock(m_mutex);
      if (Now - m_lastSnapshot >= SnapshotInterval) {
        m_lastSnapshot = Now;
        m_snapshots.emplace_back(Now, reportNow());
        while (m_snapshots.size() > 1 &&
               m_snapshots[1].first <= Now - m_settings.m_reportLag)
          m_snapshots.pop_front();
      }
      forgetOld(Now);
      for (auto It = m_delayed.begin(); It != m_delayed.end();) {
        if (It->first > Now) {
          ++It;
          continue;
        }
        Due.push_back(std::move(It->second));
        It = m_delayed.erase(It);
      }
    }
    for (const auto &[Id, Each] : Due)
      execute(Id, Each);
  }

private:
  void route(const HttpRequest &Request, HttpResponse &Response) {
    const std::string &Path = Request.m_path;
    if (Path == "/v1/completions")
      complete(Request, Response);
    else if (Path == "/resume")
      resume(Json::parse(Request.m_body), Response);
    else if (Path == "/cancel")
      cancel(Json::parse(Request.m_body), Response);
    else if (Path == "/report")
      answer(Response, 200, report());
    else if (Path == "/cache-events")
      cacheEvents(Request, Response);
    else if (Path == "/orders")
      order(Json::parse(Request.m_body), Response);
    else if (Path.rfind("/orders/", 0) == 0)
      orderState(Path.substr(8), Response);
    else
      refuse(Response, 404, "no such path");
  }

  // Memory and reports. The callers hold m_mutex.

  std::uint64_t usedBytes() const {
    std::uint64_t Sum = m_settings.m_kvBytes;
    for (const ResidentArtifact &Held : m_resident)
      Sum += Held.m_bytes;
    for (const ResidentArtifact &Held : m_loading)
      Sum += Held.m_bytes;
    return Sum;
  }
  bool holds(ArtifactKind Kind, const std::string &Name,
             const std::string &Version) const {
    return std::any_of(m_resident.begin(), m_resident.end(),
                       [&](const ResidentArtifact &Held) {
                         return Held.m_artifact.m_kind == Kind &&
                                Held.m_artifact.m_name == Name &&
                                (Version.empty() ||
                                 Held.m_artifact.m_version == Version);
                       });
  }
  double gapMillis() const {
    const double Slow = std::max(1.0, m_faults.value("slow"));
    const auto Extra =
        static_cast<double>(std::max<std::size_t>(m_batch.size(), 1) - 1);
    return Slow *
           (m_settings.m_gapMillis + m_settings.m_gapPerSequenceMillis * Extra);
  }
  /// Sequences that use an artifact, running or queued.
  unsigned inUse(const Artifact &Held) const {
    const auto Uses = [&](const SequencePtr &Each) {
      const std::string &Name =
          Held.m_kind == ArtifactKind::Model ? Each->m_model : Each->m_adapter;
      return !Each->m_done && Name == Held.m_name;
    };
    return static_cast<unsigned>(
        std::count_if(m_batch.begin(), m_batch.end(), Uses) +
        std::count_if(m_waiting.begin(), m_waiting.end(), Uses));
  }
  Json reportNow() {
    std::uint64_t Waiting = 0;
    for (const SequencePtr &Each : m_waiting)
      Waiting += Each->m_promptTokens;
    Json Resident = Json::array();
    for (const ResidentArtifact &Held : m_resident)
      Resident.push_back(
          {{"kind", nameOf(ArtifactKindNames, Held.m_artifact.m_kind)},
           {"name", Held.m_artifact.m_name},
           {"version", Held.m_artifact.m_version},
           {"bytes", Held.m_bytes},
           {"in_use", inUse(Held.m_artifact)}});
    return {{"sequence", ++m_sequence},
            {"run_id", m_runId},
            {"role", m_role},
            {"running", m_batch.size()},
            {"queued", m_waiting.size()},
            {"max_batch", m_settings.m_maxBatch},
            {"queued_prompt_tokens", Waiting},
            {"prefill_tokens_per_second", m_settings.m_prefillTokensPerSecond},
            {"token_gap_ms", gapMillis()},
            {"kv_used_bytes", m_cache.blocks() * PrefixBlockTokens *
                                  m_settings.m_kvBytesPerToken},
            {"kv_total_bytes", m_settings.m_kvBytes},
            {"memory_bytes", m_settings.m_memoryBytes},
            {"fence", m_fence},
            {"resident", Resident}};
  }
  void forgetOld(TimePoint Now) {
    for (auto It = m_sequences.begin(); It != m_sequences.end();) {
      Sequence &Each = *It->second;
      const Duration Idle =
          Each.m_readers > 0 ? Duration::zero() : Now - Each.m_lastRead;
      if (!Each.m_done && Idle > AbandonedAfter) {
        m_book.count("abandoned_streams");
        finish(Each, "abandoned");
      }
      It = Each.m_done && Idle > KeepFinished ? m_sequences.erase(It)
                                              : std::next(It);
    }
  }
  static void finish(Sequence &Each, const std::string &Reason) {
    Each.m_done = true;
    Each.m_finish = Reason;
  }

  Json report() {
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (m_snapshots.empty())
      return reportNow();
    return m_snapshots.front().second;
  }
  void cacheEvents(const HttpRequest &Request, HttpResponse &Response) {
    const auto After = Request.m_query.find("after");
    const std::uint64_t From =
        After == Request.m_query.end()
            ? 0
            : std::strtoull(After->second.c_str(), nullptr, 10);
    std::lock_guard<std::mutex> Lock(m_mutex);
    answer(Response, 200,
           m_cache.events(From, std::chrono::steady_clock::now() -
                                    m_settings.m_cacheEventLag));
  }

  // Streams.

  void complete(const HttpRequest &Request, HttpResponse &Response) {
    const Json Body = Json::parse(Request.m_body);
    auto Next = std::make_shared<Sequence>();
    Next->m_id = Body.at("request_id").get<std::string>();
    Next->m_model = Body.at("model").get<std::string>();
    Next->m_adapter = Body.value("adapter", "");
    Next->m_prompt = Body.at("prompt").get<std::string>();
    Next->m_maxTokens = Body.at("max_tokens").get<unsigned>();
    Next->m_next = Body.value("resume_from", 0U);
    Next->m_rank = parseName(RankNames, Body.value("priority", "standard"))
                       .value_or(Rank::Standard);
    Next->m_promptTokens = promptTokens(Next->m_prompt) + Next->m_next;
    Next->m_lastRead = std::chrono::steady_clock::now();
    const unsigned From = Next->m_next;
    {
      std::lock_guard<std::mutex> Lock(m_mutex);
      if (!holds(ArtifactKind::Model, Next->m_model,
                 Body.value("version", "")) ||
          (!Next->m_adapter.empty() &&
           !holds(ArtifactKind::Adapter, Next->m_adapter, "")))
        return refuse(Response, 503, "model or adapter is not resident");
      if (!m_sequences.emplace(Next->m_id, Next).second)
        return refuse(Response, 409, "request id is in use");
      m_waiting.push_back(Next);
      m_changed.notify_all();
    }
    m_book.ran(Request.header("Idempotency-Key"), Next->m_id);
    m_book.count("engine." + m_settings.m_vm.m_name);
    if (From > 0)
      m_book.count("continuations");
    serve(Next, From, takeFaults(), Response);
  }

  void resume(const Json &Body, HttpResponse &Response) {
    SequencePtr Found;
    const unsigned From = Body.at("from").get<unsigned>();
    {
      std::lock_guard<std::mutex> Lock(m_mutex);
      const auto It = m_sequences.find(Body.at("request_id"));
      if (It == m_sequences.end() || It->second->m_finish == "cancelled")
        return refuse(Response, 404, "no such stream");
      Found = It->second;
    }
    m_book.count("resumes");
    StreamFaults Clean;
    Clean.m_silentEpoch = m_faults.value("silent_streams");
    serve(Found, From, Clean, Response);
  }

  void cancel(const Json &Body, HttpResponse &Response) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    const auto It = m_sequences.find(Body.at("request_id"));
    if (It == m_sequences.end())
      return refuse(Response, 404, "no such stream");
    if (!It->second->m_done)
      finish(*It->second, "cancelled");
    m_book.count("cancels");
    m_changed.notify_all();
    answer(Response, 200, Json::object());
  }

  StreamFaults takeFaults() {
    StreamFaults Out;
    Out.m_crossed = m_faults.use("crossed");
    Out.m_late = m_faults.use("late");
    Out.m_doubled = m_faults.use("duplicate");
    Out.m_truncated = m_faults.use("truncate");
    Out.m_silentEpoch = m_faults.value("silent_streams");
    return Out;
  }

  void serve(const SequencePtr &Reading, unsigned From,
             const StreamFaults &Disturbed, HttpResponse &Response) {
    Response.m_contentType = "text/event-stream";
    Response.m_stream = [Self = shared_from_this(), Reading, From,
                         Disturbed](HttpStream &Out) {
      {
        std::lock_guard<std::mutex> Lock(Self->m_mutex);
        ++Reading->m_readers;
      }
      const bool Whole = Self->write(*Reading, From, Disturbed, Out);
      std::lock_guard<std::mutex> Lock(Self->m_mutex);
      --Reading->m_readers;
      Reading->m_lastRead = std::chrono::steady_clock::now();
      return Whole;
    };
  }

  /// Writes tokens as they appear; false cuts the connection.
  bool write(const Sequence &Reading, unsigned From,
             const StreamFaults &Disturbed, HttpStream &Out) {
    std::string Held; // A late event.
    if (!Out.write(": start\n\n"))
      return false;
    for (unsigned At = From;;) {
      unsigned End = 0;
      bool Done = false;
      {
        std::unique_lock<std::mutex> Lock(m_mutex);
        m_changed.wait_for(Lock, CommentInterval, [&] {
          return dead() || Reading.m_next > At || Reading.m_done;
        });
        End = Reading.m_next;
        Done = Reading.m_done;
      }
      if (dead())
        return false;
      if (Disturbed.m_silentEpoch < m_faults.value("silent_streams"))
        return keepSilent(Out);
      std::string Text = End == At && !Done ? ": alive\n\n" : "";
      for (; At < End; ++At)
        Text += disturb(Reading, At, Disturbed, Held);
      if (!Text.empty() && !Out.write(Text))
        return false;
      if (Disturbed.m_truncated && At >= (Reading.m_maxTokens + 1) / 2)
        return false;
      if (Done && At == End)
        return Out.write(endText(Reading));
    }
  }

  static std::string disturb(const Sequence &Reading, unsigned At,
                             const StreamFaults &Disturbed, std::string &Held) {
    const std::string Plain = tokenText(Reading.m_id, Reading.m_prompt, At);
    std::string Text;
    if (Disturbed.m_crossed) // Another request's event with the next index.
      Text += tokenText("other-" + Reading.m_id, "other", At);
    if (Disturbed.m_late && At % 4 == 1) { // Comes after its successor.
      Held = Plain;
      return Text;
    }
    Text += Plain + std::exchange(Held, {});
    if (Disturbed.m_doubled)
      Text += Plain;
    return Text;
  }

  std::string endText(const Sequence &Reading) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    return eventText({{"request_id", Reading.m_id},
                      {"done", true},
                      {"tokens", Reading.m_next},
                      {"finish_reason", Reading.m_finish},
                      {"prompt_tokens", Reading.m_promptTokens},
                      {"cached_prompt_tokens", Reading.m_cachedTokens},
                      {"report", reportNow()}});
  }

  bool keepSilent(HttpStream &Out) const {
    while (!dead() && Out.writable())
      std::this_thread::sleep_for(SnapshotInterval);
    return false;
  }

  // Batch loop.

  void run() {
    while (!dead()) {
      Duration Step{};
      {
        std::unique_lock<std::mutex> Lock(m_mutex);
        admit();
        if (m_batch.empty()) {
          m_changed.wait_for(Lock, SnapshotInterval);
          continue;
        }
        Step = prefill();
      }
      if (dead())
        return;
      std::this_thread::sleep_for(Step);
      std::lock_guard<std::mutex> Lock(m_mutex);
      generate();
      m_changed.notify_all();
    }
  }

  /// Fills the batch, most urgent first and oldest first within a rank.
  void admit() {
    std::stable_sort(m_waiting.begin(), m_waiting.end(),
                     [](const SequencePtr &A, const SequencePtr &B) {
                       return A->m_rank < B->m_rank;
                     });
    while (!m_waiting.empty() && m_batch.size() < m_settings.m_maxBatch) {
      const SequencePtr Next = m_waiting.front();
      m_waiting.pop_front();
      if (Next->m_done)
        continue;
      const std::string Marker = m_faults.marker();
      if (!Marker.empty() && Next->m_prompt.find(Marker) != std::string::npos) {
        m_book.count("crashes");
        Program::die();
        m_changed.notify_all();
        return;
      }
      const std::vector<std::uint64_t> Hashes =
          prefixHashes(Next->m_model, Next->m_adapter, Next->m_prompt);
      Next->m_cachedTokens = std::min(m_cache.touch(Hashes) * PrefixBlockTokens,
                                      Next->m_promptTokens);
      Next->m_prefillLeft = Next->m_promptTokens - Next->m_cachedTokens;
      m_cache.insert(Next->m_model, Hashes, std::chrono::steady_clock::now());
      m_batch.push_back(Next);
    }
  }

  /// Spends up to one chunk on prompts; returns how long the step takes.
  Duration prefill() {
    unsigned Budget = PrefillChunkTokens;
    for (const SequencePtr &Each : m_batch) {
      const unsigned Part = std::min(Budget, Each->m_prefillLeft);
      Each->m_prefillLeft -= Part;
      Budget -= Part;
    }
    return fromSeconds(gapMillis() / 1000 +
                       (PrefillChunkTokens - Budget) /
                           m_settings.m_prefillTokensPerSecond);
  }

  void generate() {
    for (const SequencePtr &Each : m_batch) {
      if (Each->m_done || Each->m_prefillLeft > 0)
        continue;
      if (Each->m_next < Each->m_maxTokens)
        ++Each->m_next;
      if (Each->m_next >= Each->m_maxTokens)
        finish(*Each, "length");
    }
    m_batch.erase(
        std::remove_if(m_batch.begin(), m_batch.end(),
                       [](const SequencePtr &Each) { return Each->m_done; }),
        m_batch.end());
  }

  // Orders.

  void order(const Json &Body, HttpResponse &Response) {
    const std::string Id = Body.at("order_id").get<std::string>();
    Order Next;
    Next.m_kind = parseName(OrderKindNames, Body.at("kind").get<std::string>())
                      .value_or(OrderKind::Load);
    Next.m_held.m_artifact = {
        parseName(ArtifactKindNames, Body.value("artifact_kind", "model"))
            .value_or(ArtifactKind::Model),
        Body.value("artifact", ""), Body.value("version", "")};
    Next.m_held.m_bytes = Body.value("bytes", std::uint64_t{0});
    Next.m_role = Body.value("role", "mixed");
    Next.m_fence = Body.at("fence").get<std::uint64_t>();
    Next.m_prefixHash = Body.value("prefix_hash", std::uint64_t{0});
    if (m_faults.use("lost_orders"))
      return cut(Response);
    const Milliseconds Delay(
        std::max(1L, static_cast<long>(m_faults.value("order_delay_ms"))));
    if (m_faults.use("late_orders")) {
      delay(Id, Next, Delay);
      return cut(Response);
    }
    if (m_faults.use("doubled_orders"))
      delay("", Next, Delay); // Without its id it is not recognised.
    const bool Accepted = execute(Id, Next);
    if (!Accepted)
      return answer(Response, 409, {{"error", "old fencing number"}});
    orderState(Id, Response);
  }

  void delay(const std::string &Id, const Order &Next, Milliseconds By) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_delayed.push_back({std::chrono::steady_clock::now() + By, {Id, Next}});
  }

  void orderState(const std::string &Id, HttpResponse &Response) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    const auto It = m_orders.find(Id);
    if (It == m_orders.end())
      return refuse(Response, 404, "no such order");
    answer(Response, 200,
           {{"order_id", Id},
            {"state", nameOf(OrderStateNames, It->second.m_state)},
            {"fence", m_fence}});
  }

  /// False if the fencing number is refused.
  bool execute(const std::string &Id, const Order &Next) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (m_settings.m_checksFencing && Next.m_fence < m_fence) {
      m_book.count("orders_refused");
      return false;
    }
    m_fence = std::max(m_fence, Next.m_fence);
    if (!Id.empty() && !m_orders.emplace(Id, Next).second)
      return true; // Seen before.
    m_book.count("orders");
    switch (Next.m_kind) {
    case OrderKind::Load:
      load(Id, Next.m_held);
      break;
    case OrderKind::Unload:
      unload(Id, Next.m_held.m_artifact);
      break;
    case OrderKind::SetRole:
      m_role = Next.m_role;
      settle(Id, OrderState::Done);
      break;
    case OrderKind::ImportCache:
      m_cache.insert(Next.m_held.m_artifact.m_name, {Next.m_prefixHash},
                     std::chrono::steady_clock::now());
      settle(Id, OrderState::Done);
      break;
    case OrderKind::ExportCache:
      settle(Id, OrderState::Done);
      break;
    }
    return true;
  }

  void settle(const std::string &Id, OrderState State) {
    if (!Id.empty())
      m_orders[Id].m_state = State;
  }

  void load(const std::string &Id, const ResidentArtifact &Wanted) {
    const auto Same = [&](const ResidentArtifact &Held) {
      return Held.m_artifact == Wanted.m_artifact;
    };
    if (std::any_of(m_resident.begin(), m_resident.end(), Same))
      return settle(Id, OrderState::Done);
    if (std::any_of(m_loading.begin(), m_loading.end(), Same))
      return; // Settled with the load in progress.
    if (usedBytes() + Wanted.m_bytes > m_settings.m_memoryBytes) {
      m_book.flag("memory_exceeded", m_settings.m_vm.m_name + " loading " +
                                         Wanted.m_artifact.m_name);
      return settle(Id, OrderState::Failed);
    }
    m_loading.push_back(Wanted);
    m_store.load(Wanted.m_artifact.m_kind,
                 [Weak = weak_from_this(), Id, Wanted] {
                   if (const auto Self = Weak.lock())
                     Self->loaded(Id, Wanted);
                 });
  }

  void loaded(const std::string &Id, const ResidentArtifact &Wanted) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    const auto It = std::find_if(m_loading.begin(), m_loading.end(),
                                 [&](const ResidentArtifact &Held) {
                                   return Held.m_artifact == Wanted.m_artifact;
                                 });
    if (It == m_loading.end())
      return settle(Id, OrderState::Failed); // Unloaded meanwhile.
    m_loading.erase(It);
    m_resident.push_back(Wanted);
    settle(Id, OrderState::Done);
    for (auto &[OtherId, Other] : m_orders)
      if (Other.m_kind == OrderKind::Load &&
          Other.m_held.m_artifact == Wanted.m_artifact)
        Other.m_state = OrderState::Done;
  }

  void unload(const std::string &Id, const Artifact &Unwanted) {
    const auto Busy = [&](const SequencePtr &Each) {
      return !Each->m_done && (Each->m_model == Unwanted.m_name ||
                               Each->m_adapter == Unwanted.m_name);
    };
    if (std::any_of(m_batch.begin(), m_batch.end(), Busy))
      m_book.flag("unloaded_in_use",
                  m_settings.m_vm.m_name + " " + Unwanted.m_name);
    const auto Same = [&](const ResidentArtifact &Held) {
      return Held.m_artifact == Unwanted;
    };
    m_resident.erase(std::remove_if(m_resident.begin(), m_resident.end(), Same),
                     m_resident.end());
    m_loading.erase(std::remove_if(m_loading.begin(), m_loading.end(), Same),
                    m_loading.end());
    settle(Id, OrderState::Done);
  }

  const EngineSettings m_settings;
  const std::uint64_t m_runId;
  Faults &m_faults;
  Ledger &m_book;
  WeightStore &m_store;
  std::mutex m_mutex; ///< Guards the members below.
  std::condition_variable m_changed;
  PrefixCache m_cache;
  std::map<std::string, SequencePtr> m_sequences;
  std::deque<SequencePtr> m_waiting;
  std::vector<SequencePtr> m_batch; ///< At most m_maxBatch.
  std::vector<ResidentArtifact> m_resident;
  std::vector<ResidentArtifact> m_loading; ///< Their memory is in use already.
  std::map<std::string, Order> m_orders;
  std::vector<std::pair<TimePoint, std::pair<std::string, Order>>> m_delayed;
  std::deque<std::pair<TimePoint, Json>> m_snapshots; ///< Oldest is served.
  TimePoint m_lastSnapshot;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_fence = 0;
  std::string m_role = "mixed";
  std::thread m_thread;
};

} // namespace

std::shared_ptr<Program> makeEngine(const EngineSettings &Settings,
                                    std::uint64_t RunId, bool Restarted,
                                    Faults &Switches, Ledger &Book,
                                    WeightStore &Store) {
  return std::make_shared<Engine>(Settings, RunId, Restarted, Switches, Book,
                                  Store);
}

} // namespace primroseworks::standins
