// Messages of the inner protocol between daemons. A message is a CBOR map
// {v, type, id, ...}; unknown fields are ignored, so that neighbouring versions
// of the program understand each other.
#ifndef PRIMROSEWORKS_MESSAGE_H
#define PRIMROSEWORKS_MESSAGE_H

#include "primroseworks/engine.h"
#include "primroseworks/error.h"
#include "primroseworks/names.h"
#include "primroseworks/placement.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace primroseworks {

/// Version of the inner protocol, field `v`. A message with a higher version
/// is refused.
inline constexpr unsigned PeerProtocolVersion = 1;

/// Largest encoded message, in bytes.
inline constexpr std::size_t MaxMessageBytes = 1'000'000;

/// Types of messages, in the order of the alternatives of MessageBody.
enum class MessageType {
  Heartbeat,
  Gossip,
  JournalClaim,
  JournalRelease,
  JournalResult,
  JournalLookup,
  JournalReply,
  Strikes,
  PlannedMove,
  MoveReply,
  ConfigFetch,
  ConfigDocument,
  StreamLookup,
  StreamLocation,
  DrainNotice,
  DemandReport,
  Failure,
  Challenge,
  Hello,
  Welcome
};
inline constexpr std::size_t MessageTypeCount = 20;
inline constexpr NameTable<MessageType, MessageTypeCount> MessageTypeNames = {
    {{MessageType::Heartbeat, "heartbeat"},
     {MessageType::Gossip, "gossip"},
     {MessageType::JournalClaim, "journal_claim"},
     {MessageType::JournalRelease, "journal_release"},
     {MessageType::JournalResult, "journal_result"},
     {MessageType::JournalLookup, "journal_lookup"},
     {MessageType::JournalReply, "journal_reply"},
     {MessageType::Strikes, "strikes"},
     {MessageType::PlannedMove, "planned_move"},
     {MessageType::MoveReply, "move_reply"},
     {MessageType::ConfigFetch, "config_fetch"},
     {MessageType::ConfigDocument, "config_document"},
     {MessageType::StreamLookup, "stream_lookup"},
     {MessageType::StreamLocation, "stream_location"},
     {MessageType::DrainNotice, "drain_notice"},
     {MessageType::DemandReport, "demand_report"},
     {MessageType::Failure, "failure"},
     {MessageType::Challenge, "challenge"},
     {MessageType::Hello, "hello"},
     {MessageType::Welcome, "welcome"}}};

/// Sent each second when nothing else was sent; any message counts as one.
struct HeartbeatMessage {
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_configRevision = 0; ///< In force at the sender.
};

/// Changes of one endpoint in a row.
struct EndpointDetail {
  unsigned m_index = 0; ///< Position in the row.
  std::string m_endpoint;
  unsigned m_state = 0;
  std::vector<std::string> m_models;
};

/// Whose row it is.
struct RowIdentity {
  std::string m_member;
  std::string m_region;
  std::string m_failureDomain;
  std::string m_programVersion;
};

/// Changes of one daemon's row from version m_base (0: whole row) to m_version.
struct RowDelta {
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_version = 0;
  std::uint64_t m_base = 0;
  std::uint64_t m_configRevision = 0; ///< 0: as before.
  bool m_hasIdentity = false;
  RowIdentity m_identity;
  bool m_hasCount = false;
  unsigned m_endpointCount = 0; ///< Endpoints in the row, if m_hasCount.
  std::vector<EndpointDetail> m_details;
  /// Position in the row and load code of each endpoint whose load changed.
  std::vector<std::pair<unsigned, unsigned>> m_loads;
};

/// Capacity of one model in a region, summed over the region's endpoints.
struct ModelSummary {
  std::string m_model; ///< Empty in a delta: as before.
  unsigned m_index = 0;
  unsigned m_replicas = 0; ///< 0: no longer resident in the region.
  unsigned m_loadCode = 0;
};

/// Changes of a region's summary, which one of its members writes.
struct SummaryDelta {
  std::uint64_t m_incarnation = 0; ///< Of the member that wrote it.
  std::uint64_t m_version = 0;
  std::uint64_t m_base = 0;
  std::string m_region;
  std::vector<ModelSummary> m_models;
  /// Incarnations and names of the region's members that joined or restarted.
  std::vector<std::pair<std::uint64_t, std::string>> m_joined;
  std::vector<std::uint64_t> m_left;
};

/// Rows that the receiver does not have yet.
struct GossipMessage {
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_configRevision = 0; ///< In force at the sender.
  std::vector<RowDelta> m_rows;
  std::vector<SummaryDelta> m_summaries;
  /// Versions that the sender has, by incarnation; sent once per connection.
  bool m_isDigest = false;
  std::vector<std::pair<std::uint64_t, std::uint64_t>> m_rowVersions;
  std::vector<std::pair<std::uint64_t, std::uint64_t>> m_summaryVersions;
  /// Rows whose delta could not be applied; the receiver sends them whole.
  std::vector<std::uint64_t> m_wantRows;
  std::vector<std::uint64_t> m_wantSummaries;
};

/// Asks the owner of a journal shard to record that a request will run.
struct JournalClaimMessage {
  std::string m_key;
  std::string m_bodyHash;
  std::string m_requestId;
  std::string m_daemon;
  std::uint64_t m_incarnation = 0;
  std::string m_endpoint;
};

/// The claimed request was not dispatched.
struct JournalReleaseMessage {
  std::string m_key;
  std::string m_requestId;
};

/// The answer of the claimed request; m_statusCode 0: it may have run and its
/// answer is lost.
struct JournalResultMessage {
  std::string m_key;
  std::string m_requestId;
  int m_statusCode = 0;
  std::string m_contentType;
  std::string m_body;
  std::string m_bodyHash; ///< Of the claim, which may have expired.
};

/// Asks for the state of a key without claiming it.
struct JournalLookupMessage {
  std::string m_key;
  std::string m_bodyHash;
};

enum class JournalStatus {
  Claimed,     ///< The claim is durable; the request may be dispatched.
  Released,    ///< The release is durable.
  Recorded,    ///< The result is durable, or a recorded answer is returned.
  InProgress,  ///< Another attempt with the same key runs.
  Unknown,     ///< It may have run; its answer is lost.
  Orphaned,    ///< The holder is gone and left no result.
  BodyDiffers, ///< The key was used with another body.
  NotFound,    ///< No record of the key.
  NotOwner,    ///< The receiver does not own the shard.
  StoreUnavailable, ///< Nothing was recorded.
  Full ///< The key is new and there is no room for it; it has not run.
};
inline constexpr NameTable<JournalStatus, 11> JournalStatusNames = {
    {{JournalStatus::Claimed, "claimed"},
     {JournalStatus::Released, "released"},
     {JournalStatus::Recorded, "recorded"},
     {JournalStatus::InProgress, "in_progress"},
     {JournalStatus::Unknown, "unknown"},
     {JournalStatus::Orphaned, "orphaned"},
     {JournalStatus::BodyDiffers, "body_differs"},
     {JournalStatus::NotFound, "not_found"},
     {JournalStatus::NotOwner, "not_owner"},
     {JournalStatus::StoreUnavailable, "store_unavailable"},
     {JournalStatus::Full, "full"}}};

/// Answer to all journal messages.
struct JournalReplyMessage {
  JournalStatus m_status = JournalStatus::NotFound;
  std::string m_requestId; ///< Of the attempt on record.
  std::string m_daemon;    ///< That claimed it.
  std::uint64_t m_incarnation = 0;
  std::string m_endpoint;
  int m_statusCode = 0; ///< Recorded answer, with m_status Recorded.
  std::string m_contentType;
  std::string m_body;
};

/// Strikes of crash suspects; broadcast.
struct StrikesMessage {
  /// Fingerprint and the crash that struck it; crash 0: it completed.
  std::vector<std::pair<std::uint64_t, std::uint64_t>> m_strikes;
  std::vector<std::uint64_t> m_cleared;
};

/// A planner asks an owner to start a move.
struct PlannedMoveMessage {
  std::uint64_t m_plannerIncarnation = 0;
  Move m_move;
};

struct MoveReplyMessage {
  bool m_accepted = false;
  std::string m_reason;
  bool m_noRoom = false; ///< Rejected for lack of memory.
  /// Rejected because a model without any copy is to be loaded first.
  bool m_givesWay = false;
};

/// Asks for a configuration document.
struct ConfigFetchMessage {
  std::uint64_t m_revision = 0; ///< Wanted at least; 0: the highest.
  std::uint64_t m_have = 0;     ///< Revision to send changes from; 0: none.
};

/// One revision as a change of the one before it: the bytes from m_offset,
/// m_removed of them, are replaced by m_inserted.
struct ConfigPatch {
  std::uint64_t m_revision = 0;
  std::string m_hash; ///< Of the whole document after the change.
  std::uint64_t m_offset = 0;
  std::uint64_t m_removed = 0;
  std::string m_inserted;
};

/// Answer to ConfigFetch: changes from m_base, or a whole document.
struct ConfigDocumentMessage {
  std::uint64_t m_revision = 0; ///< 0: the sender has nothing newer.
  std::string m_hash;
  std::uint64_t m_base = 0; ///< Revision that m_patches apply to; 0: whole.
  std::vector<ConfigPatch> m_patches;
  std::string m_document;
};

/// Asks where a stream runs.
struct StreamLookupMessage {
  std::string m_requestId;
};

struct StreamLocationMessage {
  bool m_found = false;
  std::string m_endpoint;
  std::string m_model;
};

/// The sender takes no new requests; broadcast.
struct DrainNoticeMessage {
  std::string m_member;
  std::uint64_t m_incarnation = 0;
};

/// Tokens asked of one artifact by callers in one region.
struct DemandEntry {
  Artifact m_artifact;
  std::string m_region; ///< Of the callers.
  /// By rank, since the sender's last report.
  std::array<double, RankCount> m_tokens{};
};

/// What a daemon's callers asked for, to the planner of the daemon's region and
/// to the member that would succeed it.
struct DemandReportMessage {
  std::vector<DemandEntry> m_entries;
};

/// Answer to a request that failed.
struct FailureMessage {
  ErrorKind m_kind = ErrorKind::Internal;
  std::string m_message;
};

/// First message on a connection, from the side that accepted it.
struct ChallengeMessage {
  std::string m_nonce;
};

/// Answer to Challenge: m_mac is the HMAC-SHA256 under the cluster key.
struct HelloMessage {
  std::string m_member;
  std::uint64_t m_incarnation = 0;
  std::string m_target; ///< Name of the member that is called.
  std::string m_nonce;
  std::string m_mac;
};

/// Answer to Hello; the connection is established after it.
struct WelcomeMessage {
  std::string m_member;
  std::uint64_t m_incarnation = 0;
  std::string m_mac;
};

/// Typed part of a message; the alternatives are in the order of MessageType.
using MessageBody = std::variant<
    HeartbeatMessage, GossipMessage, JournalClaimMessage, JournalReleaseMessage,
    JournalResultMessage, JournalLookupMessage, JournalReplyMessage,
    StrikesMessage, PlannedMoveMessage, MoveReplyMessage, ConfigFetchMessage,
    ConfigDocumentMessage, StreamLookupMessage, StreamLocationMessage,
    DrainNoticeMessage, DemandReportMessage, FailureMessage, ChallengeMessage,
    HelloMessage, WelcomeMessage>;
static_assert(std::variant_size_v<MessageBody> == MessageTypeCount);

/// One message. m_request and m_reply tie a reply to its request; a broadcast
/// is recognised by m_origin and m_sequence, so that it is relayed once.
struct Message {
  MessageBody m_body;
  std::uint64_t m_request = 0;  ///< Number of a request; 0: none expected.
  std::uint64_t m_reply = 0;    ///< Number of the request it answers.
  std::uint64_t m_origin = 0;   ///< Start of a member that broadcast it.
  std::uint64_t m_sequence = 0; ///< Of the origin's broadcasts.

  MessageType type() const { return static_cast<MessageType>(m_body.index()); }
};

/// Bytes of a message. Fails with InvalidArgument if it is larger than
/// MaxMessageBytes.
Result<std::string> encodeMessage(const Message &Value);

/// The message in Bytes. Fails with Protocol if the bytes are not a message of
/// a known version and type with fields of the right kinds.
Result<Message> decodeMessage(std::string_view Bytes);

} // namespace primroseworks

#endif
