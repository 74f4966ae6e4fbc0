// Memory claims of an accelerator and their record in the store.
#include "primroseworks/ledger.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <mutex>

namespace primroseworks {

using nlohmann::json;

namespace {

/// Attempts at one write before its outcome counts as unknown.
constexpr int WriteAttempts = 4;

/// Rounds of applying a change to a record that was written by ourselves in
/// between (a write that took effect late).
constexpr int CommitAttempts = 4;

const ResidentArtifact *findResident(const LoadReport &Report,
                                     const Artifact &Wanted) {
  for (const ResidentArtifact &R : Report.m_resident)
    if (R.m_artifact == Wanted)
      return &R;
  return nullptr;
}

} // namespace

MemoryLedger::MemoryLedger(std::uint64_t SizeBytes, std::uint64_t ReservedBytes)
    : m_sizeBytes(SizeBytes), m_reservedBytes(ReservedBytes) {}

std::uint64_t MemoryLedger::committedBytes() const {
  std::uint64_t Sum = m_reservedBytes;
  for (const auto &[Key, Claims] : m_claims)
    Sum += Claims.m_bytes;
  return Sum;
}

std::uint64_t MemoryLedger::freeBytes() const {
  const std::uint64_t Committed = committedBytes();
  return Committed < m_sizeBytes ? m_sizeBytes - Committed : 0;
}

void MemoryLedger::checkInvariant() {
  if (m_sizeBytes != 0 && committedBytes() > m_sizeBytes)
    ++m_violations;
}

Result<void> MemoryLedger::setReserved(std::uint64_t Bytes) {
  if (Bytes > m_reservedBytes && Bytes - m_reservedBytes > freeBytes())
    return makeError(ErrorKind::Conflict,
                     "a reservation of " + std::to_string(Bytes) +
                         " bytes does not fit; unload something first");
  m_reservedBytes = Bytes;
  return boost::outcome_v2::success();
}

Result<void> MemoryLedger::claimLoad(const Artifact &Wanted,
                                     std::uint64_t Bytes,
                                     const PendingClaim &Claim) {
  if (Bytes == 0 || Claim.m_orderId.empty())
    return makeError(ErrorKind::InvalidArgument,
                     "a claim of '" + Wanted.m_name +
                         "' lacks its size or order id; pass both");
  auto It = m_claims.find(Wanted);
  const std::uint64_t Counted = It == m_claims.end() ? 0 : It->second.m_bytes;
  if (Bytes > Counted && Bytes - Counted > freeBytes())
    return makeError(ErrorKind::Conflict,
                     "'" + Wanted.m_name + "' needs " + std::to_string(Bytes) +
                         " bytes and " + std::to_string(freeBytes()) +
                         " are free; unload something first");
  ArtifactClaims &Claims = m_claims[Wanted];
  Claims.m_bytes = std::max(Counted, Bytes);
  for (const PendingClaim &Known : Claims.m_pending)
    if (Known.m_orderId == Claim.m_orderId)
      return boost::outcome_v2::success();
  Claims.m_pending.push_back(Claim);
  checkInvariant();
  return boost::outcome_v2::success();
}

bool MemoryLedger::isNewer(const LoadReport &Report) const {
  return Report.m_runId != m_run || Report.m_sequence > m_sequence;
}

bool MemoryLedger::observe(
    const LoadReport &Report,
    const std::function<bool(const PendingClaim &)> &IsOver) {
  if (!isNewer(Report))
    return false;
  bool Changed = false;
  m_run = Report.m_runId;
  m_sequence = Report.m_sequence;
  if (Report.m_memoryBytes != 0 && Report.m_memoryBytes != m_sizeBytes) {
    m_sizeBytes = Report.m_memoryBytes;
    Changed = true;
  }
  for (auto It = m_claims.begin(); It != m_claims.end();) {
    ArtifactClaims &Claims = It->second;
    const ResidentArtifact *Seen = findResident(Report, It->first);
    const auto End = std::remove_if(Claims.m_pending.begin(),
                                    Claims.m_pending.end(), IsOver);
    Changed |= End != Claims.m_pending.end();
    Claims.m_pending.erase(End, Claims.m_pending.end());
    Changed |= Claims.m_resident != (Seen != nullptr);
    Claims.m_resident = Seen != nullptr;
    if (Seen && Seen->m_bytes > Claims.m_bytes) {
      Claims.m_bytes = Seen->m_bytes;
      Changed = true;
    }
    const bool Unclaimed = !Claims.m_resident && Claims.m_pending.empty();
    It = Unclaimed ? m_claims.erase(It) : std::next(It);
  }
  for (const ResidentArtifact &R : Report.m_resident)
    if (m_claims.emplace(R.m_artifact, ArtifactClaims{R.m_bytes, true, {}})
            .second)
      Changed = true;
  if (Changed)
    checkInvariant();
  return Changed;
}

/// Access of the codec to the ledger's members.
struct EndpointRecordCodec {
  static json encode(const MemoryLedger &Ledger) {
    json Claims = json::array();
    for (const auto &[Key, Held] : Ledger.m_claims) {
      json Pending = json::array();
      for (const PendingClaim &P : Held.m_pending)
        Pending.push_back({{"order", P.m_orderId},
                           {"member", P.m_member},
                           {"incarnation", P.m_incarnation},
                           {"fence", P.m_fence}});
      Claims.push_back({{"kind", nameOf(ArtifactKindNames, Key.m_kind)},
                        {"name", Key.m_name},
                        {"version", Key.m_version},
                        {"bytes", Held.m_bytes},
                        {"resident", Held.m_resident},
                        {"pending", std::move(Pending)}});
    }
    return {{"size", Ledger.m_sizeBytes},
            {"reserved", Ledger.m_reservedBytes},
            {"run", Ledger.m_run},
            {"sequence", Ledger.m_sequence},
            {"violations", Ledger.m_violations},
            {"claims", std::move(Claims)}};
  }

  static Result<MemoryLedger> decode(const json &Value) {
    MemoryLedger Out(Value.at("size").get<std::uint64_t>(),
                     Value.at("reserved").get<std::uint64_t>());
    Out.m_run = Value.at("run").get<std::uint64_t>();
    Out.m_sequence = Value.at("sequence").get<std::uint64_t>();
    Out.m_violations = Value.at("violations").get<std::uint64_t>();
    for (const json &C : Value.at("claims")) {
      Artifact Key;
      const auto Kind =
          parseName(ArtifactKindNames, C.at("kind").get<std::string>());
      if (!Kind)
        return makeError(ErrorKind::Protocol,
                         "endpoint record has a claim of an unknown kind; "
                         "update this daemon");
      Key.m_kind = *Kind;
      Key.m_name = C.at("name").get<std::string>();
      Key.m_version = C.at("version").get<std::string>();
      ArtifactClaims Held;
      Held.m_bytes = C.at("bytes").get<std::uint64_t>();
      Held.m_resident = C.at("resident").get<bool>();
      for (const json &P : C.at("pending"))
        Held.m_pending.push_back({P.at("order").get<std::string>(),
                                  P.at("member").get<std::string>(),
                                  P.at("incarnation").get<std::uint64_t>(),
                                  P.at("fence").get<std::uint64_t>()});
      Out.m_claims.emplace(std::move(Key), std::move(Held));
    }
    return Out;
  }
};

std::string encodeEndpoint(const EndpointRecord &Record) {
  return json{{"owner", Record.m_owner},
              {"incarnation", Record.m_incarnation},
              {"fence", Record.m_fence},
              {"write", Record.m_write},
              {"ledger", EndpointRecordCodec::encode(Record.m_ledger)}}
      .dump();
}

Result<EndpointRecord> decodeEndpoint(const std::string &Text) {
  try {
    const json Value = json::parse(Text);
    EndpointRecord Out;
    Out.m_owner = Value.at("owner").get<std::string>();
    Out.m_incarnation = Value.at("incarnation").get<std::uint64_t>();
    Out.m_fence = Value.at("fence").get<std::uint64_t>();
    Out.m_write = Value.at("write").get<std::uint64_t>();
    BOOST_OUTCOME_TRY(Ledger, EndpointRecordCodec::decode(Value.at("ledger")));
    Out.m_ledger = std::move(Ledger);
    return Out;
  } catch (const json::exception &E) {
    return makeError(ErrorKind::Protocol,
                     std::string("endpoint record cannot be read (") +
                         E.what() + "); an operator must repair the key");
  }
}

Result<StoredEndpoint> readEndpoint(KvStore &Store, const std::string &Id) {
  BOOST_OUTCOME_TRY(Entry, Store.get(EndpointPrefix + Id));
  if (!Entry)
    return StoredEndpoint{};
  BOOST_OUTCOME_TRY(Record, decodeEndpoint(Entry->m_value));
  return StoredEndpoint{std::move(Record), Entry->m_revision};
}

Result<StoredEndpoint> writeEndpoint(KvStore &Store, const std::string &Id,
                                     const StoredEndpoint &Base,
                                     EndpointRecord Next) {
  Next.m_write = Base.m_record.m_write + 1;
  const std::string Key = EndpointPrefix + Id;
  const std::string Text = encodeEndpoint(Next);
  bool MayHaveApplied = false;
  Error Last;
  for (int I = 0; I < WriteAttempts; ++I) {
    // The same text with the same expected revision: whichever attempt takes
    // effect, the others fail and show this text.
    Result<CasResult> Answer = Store.compareAndSwap(Key, Base.m_revision, Text);
    if (Answer && Answer.value().m_applied)
      return StoredEndpoint{std::move(Next), Answer.value().m_revision};
    if (Answer) {
      const auto &Current = Answer.value().m_current;
      if (MayHaveApplied && Current && Current->m_value == Text)
        return StoredEndpoint{std::move(Next), Current->m_revision};
      return makeError(ErrorKind::Conflict,
                       "record '" + Key + "' changed; read it again");
    }
    Last = Answer.error();
    if (Last.m_kind == ErrorKind::Timeout)
      MayHaveApplied = true;
    else if (!MayHaveApplied)
      return Last;
  }
  return makeError(ErrorKind::Timeout,
                   "the outcome of a write to '" + Key +
                       "' is not known; read it again before the next write");
}

namespace {

class EndpointLedgerImpl final : public EndpointLedger {
public:
  EndpointLedgerImpl(KvStore &Store, std::string Id, StoredEndpoint Owned)
      : m_store(Store), m_id(std::move(Id)), m_stored(std::move(Owned)) {}

  Result<void>
  commit(const std::function<Result<bool>(MemoryLedger &)> &Change) override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    for (int I = 0; I < CommitAttempts; ++I) {
      BOOST_OUTCOME_TRYV(settle());
      EndpointRecord Next = m_stored.m_record;
      BOOST_OUTCOME_TRY(Changed, Change(Next.m_ledger));
      if (!Changed)
        return boost::outcome_v2::success();
      Result<StoredEndpoint> Written =
          writeEndpoint(m_store, m_id, m_stored, std::move(Next));
      if (Written) {
        m_stored = std::move(Written).value();
        return boost::outcome_v2::success();
      }
      // Also after a conflict: the record may still be ours, changed by a
      // write of ours that took effect late.
      m_unsettled = Written.error().m_kind != ErrorKind::Unavailable &&
                    Written.error().m_kind != ErrorKind::RateLimited;
      if (Written.error().m_kind != ErrorKind::Conflict)
        return Written.error();
    }
    return makeError(ErrorKind::Unavailable, "record of endpoint '" + m_id +
                                                 "' keeps changing; try again");
  }

  MemoryLedger ledger() const override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    return m_stored.m_record.m_ledger;
  }
  StoredEndpoint stored() const override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    return m_stored;
  }
  bool lost() const override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    return m_lost;
  }

private:
  /// Reads the record again if the last write's outcome is not known.
  Result<void> settle() {
    if (m_lost)
      return notOwner();
    if (!m_unsettled)
      return boost::outcome_v2::success();
    Result<StoredEndpoint> Read = readEndpoint(m_store, m_id);
    // A read changes nothing, whatever became of it.
    if (!Read)
      return makeError(ErrorKind::Unavailable, Read.error().m_message);
    const EndpointRecord &Present = Read.value().m_record;
    const EndpointRecord &Ours = m_stored.m_record;
    if (Present.m_owner != Ours.m_owner ||
        Present.m_incarnation != Ours.m_incarnation ||
        Present.m_fence != Ours.m_fence) {
      m_lost = true;
      return notOwner();
    }
    m_stored = std::move(Read).value();
    m_unsettled = false;
    return boost::outcome_v2::success();
  }

  Error notOwner() const {
    return makeError(ErrorKind::Closed,
                     "endpoint '" + m_id +
                         "' has another owner; send no order to it");
  }

  KvStore &m_store;
  const std::string m_id;
  mutable std::mutex m_mutex;
  StoredEndpoint m_stored;
  bool m_unsettled = false;
  bool m_lost = false;
};

} // namespace

std::unique_ptr<EndpointLedger>
createEndpointLedger(KvStore &Store, std::string Id, StoredEndpoint Owned) {
  return std::make_unique<EndpointLedgerImpl>(Store, std::move(Id),
                                              std::move(Owned));
}

} // namespace primroseworks
