// Encodes and decodes the messages of the inner protocol as CBOR maps. Field
// names are short where a message is sent each second.
#include "primroseworks/message.h"

#include "libbase/limitedjson.h"
#include "libpeer/fields_pvt.h"

#include <algorithm>
#include <cmath>

namespace primroseworks {
namespace {

using namespace pvt;
using pvt::get; // Of gossip; the functions below would hide them.
using pvt::put;

template <class Map, class T> using BodyOf = typename Map::template Body<T>;

template <class Map> void fields(Map &M, BodyOf<Map, HeartbeatMessage> &Body) {
  M.number("i", Body.m_incarnation);
  M.number("c", Body.m_configRevision);
}

template <class Map>
void fields(Map &M, BodyOf<Map, JournalClaimMessage> &Body) {
  M.text("key", Body.m_key);
  M.text("body_hash", Body.m_bodyHash);
  M.text("request_id", Body.m_requestId);
  M.text("daemon", Body.m_daemon);
  M.number("incarnation", Body.m_incarnation);
  M.text("endpoint", Body.m_endpoint);
}

template <class Map>
void fields(Map &M, BodyOf<Map, JournalReleaseMessage> &Body) {
  M.text("key", Body.m_key);
  M.text("request_id", Body.m_requestId);
}

template <class Map>
void fields(Map &M, BodyOf<Map, JournalResultMessage> &Body) {
  M.text("key", Body.m_key);
  M.text("request_id", Body.m_requestId);
  M.status("status_code", Body.m_statusCode);
  M.text("content_type", Body.m_contentType);
  M.bytes("body", Body.m_body);
  M.text("body_hash", Body.m_bodyHash);
}

template <class Map>
void fields(Map &M, BodyOf<Map, JournalLookupMessage> &Body) {
  M.text("key", Body.m_key);
  M.text("body_hash", Body.m_bodyHash);
}

template <class Map>
void fields(Map &M, BodyOf<Map, JournalReplyMessage> &Body) {
  M.name("status", Body.m_status, JournalStatusNames);
  M.optionalText("request_id", Body.m_requestId);
  M.optionalText("daemon", Body.m_daemon);
  M.optionalNumber("incarnation", Body.m_incarnation);
  M.optionalText("endpoint", Body.m_endpoint);
  if (Map::Writing && Body.m_statusCode == 0)
    return; // No recorded result.
  M.status("status_code", Body.m_statusCode);
  M.text("content_type", Body.m_contentType);
  M.bytes("body", Body.m_body);
}

template <class Map> void fields(Map &M, BodyOf<Map, StrikesMessage> &Body) {
  M.pairs("crashes", Body.m_strikes);
  M.numbers("cleared", Body.m_cleared);
}

template <class Map>
void fields(Map &M, BodyOf<Map, PlannedMoveMessage> &Body) {
  M.number("incarnation", Body.m_plannerIncarnation);
  M.name("move", Body.m_move.m_kind, MoveKindNames);
  M.text("endpoint", Body.m_move.m_endpoint);
  M.name("kind", Body.m_move.m_artifact.m_kind, ArtifactKindNames);
  M.text("name", Body.m_move.m_artifact.m_name);
  M.text("version", Body.m_move.m_artifact.m_version);
  M.number("bytes", Body.m_move.m_bytes);
  M.text("reason", Body.m_move.m_reason);
}

template <class Map> void fields(Map &M, BodyOf<Map, MoveReplyMessage> &Body) {
  M.flag("accepted", Body.m_accepted);
  M.optionalText("reason", Body.m_reason);
  if (!Map::Writing || Body.m_noRoom)
    M.flag("no_room", Body.m_noRoom);
  if (!Map::Writing || Body.m_givesWay)
    M.flag("gives_way", Body.m_givesWay);
}

template <class Map>
void fields(Map &M, BodyOf<Map, ConfigFetchMessage> &Body) {
  M.number("revision", Body.m_revision);
  M.number("have", Body.m_have);
}

template <class Map>
void fields(Map &M, BodyOf<Map, StreamLookupMessage> &Body) {
  M.text("request_id", Body.m_requestId);
}

template <class Map>
void fields(Map &M, BodyOf<Map, StreamLocationMessage> &Body) {
  M.flag("found", Body.m_found);
  M.optionalText("endpoint", Body.m_endpoint);
  M.optionalText("model", Body.m_model);
}

template <class Map>
void fields(Map &M, BodyOf<Map, DrainNoticeMessage> &Body) {
  M.text("member", Body.m_member);
  M.number("incarnation", Body.m_incarnation);
}

template <class Map> void fields(Map &M, BodyOf<Map, FailureMessage> &Body) {
  M.name("kind", Body.m_kind, ErrorKindNames);
  M.text("message", Body.m_message);
}

template <class Map> void fields(Map &M, BodyOf<Map, ChallengeMessage> &Body) {
  M.bytes("nonce", Body.m_nonce);
}

template <class Map> void fields(Map &M, BodyOf<Map, HelloMessage> &Body) {
  M.text("member", Body.m_member);
  M.number("incarnation", Body.m_incarnation);
  M.text("target", Body.m_target);
  M.bytes("nonce", Body.m_nonce);
  M.bytes("mac", Body.m_mac);
}

template <class Map> void fields(Map &M, BodyOf<Map, WelcomeMessage> &Body) {
  M.text("member", Body.m_member);
  M.number("incarnation", Body.m_incarnation);
  M.bytes("mac", Body.m_mac);
}

void put(Json &Out, const ConfigDocumentMessage &Body) {
  Out["revision"] = Body.m_revision;
  Out["hash"] = Body.m_hash;
  if (Body.m_base == 0) {
    Out["document"] = binary(Body.m_document);
    return;
  }
  Out["base"] = Body.m_base;
  Json Patches = Json::array();
  for (const ConfigPatch &Patch : Body.m_patches)
    Patches.push_back({Patch.m_revision, Patch.m_hash, Patch.m_offset,
                       Patch.m_removed, binary(Patch.m_inserted)});
  Out["patches"] = std::move(Patches);
}

ConfigPatch patchFromJson(const Json &In) {
  asArray(In, "patches", 5);
  ConfigPatch Out;
  Out.m_revision = asNumber(In[0], "patches");
  Out.m_hash = asText(In[1], "patches");
  Out.m_offset = asNumber(In[2], "patches");
  Out.m_removed = asNumber(In[3], "patches");
  if (!In[4].is_binary())
    throw BadField{"patches"};
  const auto &Inserted = In[4].get_binary();
  Out.m_inserted.assign(Inserted.begin(), Inserted.end());
  return Out;
}

void get(const Json &In, ConfigDocumentMessage &Body) {
  Body.m_revision = number(In, "revision");
  Body.m_hash = text(In, "hash");
  Body.m_base = number(In, "base");
  for (const Json &Patch : elements(In, "patches"))
    Body.m_patches.push_back(patchFromJson(Patch));
  Body.m_document = bytes(In, "document");
}

// Flat: kind, name, version, region, whole tokens of all ranks. The tokens of
// each rank are a field of their own, which versions without ranks ignore.
void put(Json &Out, const DemandReportMessage &Body) {
  Json Entries = Json::array();
  Json Ranks = Json::array();
  for (const DemandEntry &Entry : Body.m_entries) {
    Entries.push_back(enumName(ArtifactKindNames, Entry.m_artifact.m_kind));
    Entries.push_back(Entry.m_artifact.m_name);
    Entries.push_back(Entry.m_artifact.m_version);
    Entries.push_back(Entry.m_region);
    std::uint64_t Sum = 0;
    for (double Tokens : Entry.m_tokens) {
      const auto Whole = static_cast<std::uint64_t>(
          std::llround(std::clamp(Tokens, 0.0, 1e15)));
      Ranks.push_back(Whole);
      Sum += Whole;
    }
    Entries.push_back(Sum);
  }
  Out["entries"] = std::move(Entries);
  Out["ranks"] = std::move(Ranks);
}

void get(const Json &In, DemandReportMessage &Body) {
  constexpr std::size_t Stride = 5;
  const Json &Flat = elements(In, "entries");
  if (Flat.size() % Stride != 0)
    throw BadField{"entries"};
  // Reports of older versions have no ranks; their demand counts as standard.
  const bool Ranked = In.contains("ranks");
  const Json Ranks = Ranked ? elements(In, "ranks") : Json::array();
  if (Ranked && Ranks.size() != Flat.size() / Stride * RankCount)
    throw BadField{"ranks"};
  for (std::size_t I = 0; I < Flat.size(); I += Stride) {
    const auto Kind = parseName(ArtifactKindNames, asText(Flat[I], "entries"));
    if (!Kind)
      throw BadField{"entries"};
    DemandEntry Entry;
    Entry.m_artifact = {*Kind, asText(Flat[I + 1], "entries"),
                        asText(Flat[I + 2], "entries")};
    Entry.m_region = asText(Flat[I + 3], "entries");
    const std::uint64_t Sum = asNumber(Flat[I + 4], "entries");
    if (!Ranked)
      Entry.m_tokens[static_cast<std::size_t>(Rank::Standard)] =
          static_cast<double>(Sum);
    for (std::size_t R = 0; Ranked && R < RankCount; ++R)
      Entry.m_tokens[R] = static_cast<double>(
          asNumber(Ranks[I / Stride * RankCount + R], "ranks"));
    Body.m_entries.push_back(std::move(Entry));
  }
}

/// Messages without functions of their own consist of the fields above.
template <class T> void put(Json &Out, const T &Body) {
  FieldWriter Map(Out);
  fields(Map, Body);
}

template <class T> void get(const Json &In, T &Body) {
  FieldReader Map(In);
  fields(Map, Body);
}

template <std::size_t I = 0>
void bodyFromJson(std::size_t Index, const Json &In, MessageBody &Out) {
  if constexpr (I < MessageTypeCount) {
    if (Index == I)
      get(In, Out.emplace<I>());
    else
      bodyFromJson<I + 1>(Index, In, Out);
  }
}

Error badMessage(const std::string &Detail) {
  return makeError(ErrorKind::Protocol,
                   "peer message " + Detail +
                       "; run the same program version on all daemons");
}

Result<Message> messageFromJson(const Json &In) {
  if (!In.is_object())
    return badMessage("is not a map");
  if (number(In, "v") != PeerProtocolVersion)
    return badMessage("has an unknown protocol version");
  const auto Type = parseName(MessageTypeNames, text(In, "type"));
  if (!Type)
    return badMessage("has an unknown type");
  Message Out;
  bodyFromJson(static_cast<std::size_t>(*Type), In, Out.m_body);
  Out.m_request = number(In, "id");
  Out.m_reply = number(In, "re");
  Out.m_origin = number(In, "from");
  Out.m_sequence = number(In, "seq");
  return Out;
}

/// Deepest nesting of any message is 4 levels.
constexpr std::size_t MaxNesting = 16;

} // namespace

Result<std::string> encodeMessage(const Message &Value) {
  try {
    Json Out = Json::object();
    Out["v"] = PeerProtocolVersion;
    Out["type"] = enumName(MessageTypeNames, Value.type());
    putNumber(Out, "id", Value.m_request);
    putNumber(Out, "re", Value.m_reply);
    putNumber(Out, "from", Value.m_origin);
    putNumber(Out, "seq", Value.m_sequence);
    std::visit([&](const auto &Body) { put(Out, Body); }, Value.m_body);
    std::string Encoded;
    Json::to_cbor(Out, nlohmann::detail::output_adapter<char>(Encoded));
    if (Encoded.size() > MaxMessageBytes)
      return makeError(ErrorKind::InvalidArgument,
                       "peer message has " + std::to_string(Encoded.size()) +
                           " bytes; keep it within " +
                           std::to_string(MaxMessageBytes) + " bytes");
    return Encoded;
  } catch (const Json::exception &Failure) {
    return makeError(ErrorKind::InvalidArgument,
                     std::string("peer message cannot be encoded: ") +
                         Failure.what() + "; pass valid UTF-8 text");
  }
}

Result<Message> decodeMessage(std::string_view Bytes) {
  if (Bytes.size() > MaxMessageBytes)
    return badMessage("is larger than " + std::to_string(MaxMessageBytes) +
                      " bytes");
  try {
    const Json Parsed =
        pvt::parseLimited(Bytes, MaxNesting, Json::input_format_t::cbor);
    if (Parsed.is_discarded())
      return badMessage("is not CBOR of at most " + std::to_string(MaxNesting) +
                        " levels");
    return messageFromJson(Parsed);
  } catch (const BadField &Bad) {
    return badMessage("has a wrong value in field '" + Bad.m_name + "'");
  } catch (const std::exception &Failure) {
    return badMessage(std::string("cannot be read (") + Failure.what() + ")");
  }
}

} // namespace primroseworks
