// Model engines behind one abstract interface; a dialect is one implementation.
#ifndef PRIMROSEWORKS_ENGINE_H
#define PRIMROSEWORKS_ENGINE_H

#include "primroseworks/catalog.h"
#include "primroseworks/error.h"
#include "primroseworks/time.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace primroseworks {

/// What an engine can hold in its accelerator's memory.
enum class ArtifactKind { Model, Adapter };
inline constexpr NameTable<ArtifactKind, 2> ArtifactKindNames = {
    {{ArtifactKind::Model, "model"}, {ArtifactKind::Adapter, "adapter"}}};

/// A model version or adapter version.
struct Artifact {
  ArtifactKind m_kind = ArtifactKind::Model;
  std::string m_name;
  std::string m_version;
  friend bool operator==(const Artifact &A, const Artifact &B) {
    return A.m_kind == B.m_kind && A.m_name == B.m_name &&
           A.m_version == B.m_version;
  }
  friend bool operator<(const Artifact &A, const Artifact &B) {
    return std::tie(A.m_kind, A.m_name, A.m_version) <
           std::tie(B.m_kind, B.m_name, B.m_version);
  }
};

/// An artifact in memory, with its size.
struct ResidentArtifact {
  Artifact m_artifact;
  std::uint64_t m_bytes = 0;
  unsigned m_inUse = 0; ///< Sequences that use it, running or queued.
};

enum class EngineRole { Mixed, Prefill, Decode };
inline constexpr NameTable<EngineRole, 3> EngineRoleNames = {
    {{EngineRole::Mixed, "mixed"},
     {EngineRole::Prefill, "prefill"},
     {EngineRole::Decode, "decode"}}};

/// What an engine says about itself; it lags behind the truth.
struct LoadReport {
  std::uint64_t m_sequence = 0; ///< Rises with each report of one engine run.
  std::uint64_t m_runId = 0;    ///< Changes when the engine restarts.
  EngineRole m_role = EngineRole::Mixed;
  unsigned m_running = 0;  ///< Sequences in the batch.
  unsigned m_queued = 0;   ///< Sequences waiting.
  unsigned m_maxBatch = 0; ///< Most sequences in a batch.
  std::uint64_t m_queuedPromptTokens = 0;
  double m_prefillTokensPerSecond = 0;
  double m_tokenGapMillis = 0; ///< Recent mean gap between tokens of a stream.
  std::uint64_t m_kvUsedBytes = 0;
  std::uint64_t m_kvTotalBytes = 0;
  std::uint64_t m_memoryBytes = 0; ///< Size of the accelerator's memory.
  std::uint64_t m_fence = 0;       ///< Highest fencing number accepted.
  std::vector<ResidentArtifact> m_resident;
};

/// A prefix that entered or left an engine's cache.
struct CacheEvent {
  std::uint64_t m_sequence = 0; ///< A jump shows that events were lost.
  bool m_stored = true;         ///< False: evicted.
  std::string m_model;
  std::uint64_t m_prefixHash = 0;
};

/// One attempt at a completion.
struct EngineRequest {
  std::string m_requestId; ///< Unique per attempt.
  std::string m_idempotencyKey;
  std::string m_model;
  std::string m_version;
  std::string m_adapter; ///< Empty: none.
  std::string m_prompt;
  unsigned m_maxTokens = 16;
  Rank m_priority = Rank::Standard;
  unsigned m_resumeFrom = 0; ///< Tokens that the caller already has.
  std::string m_resumeText;  ///< Their text, to continue on another engine.
};

/// One token of a stream, checked: its id and index are the expected ones.
struct TokenEvent {
  unsigned m_index = 0;
  std::string m_text;
};

/// How a stream ended normally.
struct StreamEnd {
  unsigned m_tokens = 0;
  unsigned m_promptTokens = 0;
  unsigned m_cachedPromptTokens = 0;
  std::string m_finishReason;
};

/// Why a stream did not end normally, and whether the engine may have run it.
enum class StreamFailure {
  Refused,      ///< The engine answered that it did not run it.
  NotConnected, ///< No byte of the request was sent.
  Broken,       ///< The connection broke or went silent; the request may run.
  Invalid,      ///< The answer was not understandable; the request may run.
  Cancelled     ///< Our side stopped it.
};
inline constexpr NameTable<StreamFailure, 5> StreamFailureNames = {
    {{StreamFailure::Refused, "refused"},
     {StreamFailure::NotConnected, "not_connected"},
     {StreamFailure::Broken, "broken"},
     {StreamFailure::Invalid, "invalid"},
     {StreamFailure::Cancelled, "cancelled"}}};

/// Result of one attempt: exactly one of m_end and m_failure is set.
struct StreamResult {
  std::optional<StreamEnd> m_end;
  std::optional<StreamFailure> m_failure;
  std::string m_detail;
  std::optional<LoadReport> m_report; ///< Load at the end, if the engine says.
};

/// Called for each token; false stops the stream (the caller is gone).
using TokenSink = std::function<bool(const TokenEvent &)>;

enum class OrderKind { Load, Unload, SetRole, ExportCache, ImportCache };
inline constexpr NameTable<OrderKind, 5> OrderKindNames = {
    {{OrderKind::Load, "load"},
     {OrderKind::Unload, "unload"},
     {OrderKind::SetRole, "set_role"},
     {OrderKind::ExportCache, "export_cache"},
     {OrderKind::ImportCache, "import_cache"}}};

/// An order to an engine.
struct EngineOrder {
  std::string m_orderId;
  std::uint64_t m_fence = 0;
  OrderKind m_kind = OrderKind::Load;
  Artifact m_artifact;
  std::uint64_t m_bytes = 0;
  EngineRole m_role = EngineRole::Mixed;
  std::string m_peer;             ///< Endpoint at the other side of a transfer.
  std::uint64_t m_prefixHash = 0; ///< For transfers of cache.
};

enum class OrderState { Pending, Done, Failed, Unknown };
inline constexpr NameTable<OrderState, 4> OrderStateNames = {
    {{OrderState::Pending, "pending"},
     {OrderState::Done, "done"},
     {OrderState::Failed, "failed"},
     {OrderState::Unknown, "unknown"}}};

/// Connections to one engine. Safe from several threads.
class EngineClient {
public:
  virtual ~EngineClient() = default;
  /// Runs a completion and calls Sink for each token, in order, each once.
  /// Stop, when it becomes true, ends the stream and cancels it at the engine.
  virtual StreamResult complete(const EngineRequest &Request,
                                const TokenSink &Sink,
                                const std::atomic<bool> &Stop) = 0;
  /// Continues a stream that the engine still holds, from token index From.
  /// Fails with Refused if the engine does not know it.
  virtual StreamResult resume(const std::string &RequestId, unsigned From,
                              const TokenSink &Sink,
                              const std::atomic<bool> &Stop) = 0;
  virtual Result<void> cancel(const std::string &RequestId) = 0;
  virtual Result<LoadReport> report() = 0;
  virtual Result<std::vector<CacheEvent>> cacheEvents(std::uint64_t After) = 0;
  /// Sends an order. Conflict: an old fencing number was refused. Timeout: it
  /// may have arrived or may still arrive.
  virtual Result<OrderState> sendOrder(const EngineOrder &Order) = 0;
  virtual Result<OrderState> orderState(const std::string &OrderId) = 0;
};

/// How long a stream may be silent before it counts as broken; engines send a
/// comment line each second.
inline constexpr Milliseconds EngineSilenceTimeout{4000};

/// Client of the HTTP dialect of the engine at BaseUrl.
Result<std::unique_ptr<EngineClient>>
createHttpEngineClient(const std::string &BaseUrl);

} // namespace primroseworks

#endif
