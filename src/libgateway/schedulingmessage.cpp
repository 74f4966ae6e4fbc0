// CBOR encoding of the scheduling messages: an array that starts with the kind
// of message, while a peer report is a map.
#include "libgateway/schedulingmessage.h"
#include "libbase/limitedjson.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace primroseworks::gateway {

namespace {

using Json = nlohmann::json;

/// The numbers are part of the messages.
enum class MessageKind {
  Request,
  Reply,
  Update,
  OpenTickets,
  StoreRelay,
  StartQuery
};

/// Kinds from this one on are those of quota messages, which share the socket.
constexpr int FirstQuotaKind = 16;
static_assert(static_cast<int>(MessageKind::StartQuery) < FirstQuotaKind);

/// Major type of a CBOR array, in the upper three bits of the first byte.
constexpr unsigned char CborArrayType = 4;
constexpr unsigned CborMajorTypeShift = 5;

/// Decimal places of a millisecond that messages keep.
constexpr double TenthsPerMs = 10;

long long tenths(double Ms) { return std::llround(Ms * TenthsPerMs); }

template <class Enum> Json encodeEnum(Enum Value) {
  return static_cast<unsigned>(Value);
}

/// Decodes an enumerator; throws std::out_of_range if there is none.
template <class Enum, std::size_t N>
Enum decodeEnum(const Json &Value, const NameTable<Enum, N> &Names) {
  const unsigned Number = Value.get<unsigned>();
  if (Number >= Names.size())
    throw std::out_of_range("unknown enumerator " + std::to_string(Number));
  return static_cast<Enum>(Number);
}

/// Longest time in a message; a longer one is reduced to it.
constexpr std::int64_t MaxMessageMs = 86'400'000;

Milliseconds decodeTime(const Json &Value) {
  return Milliseconds(
      std::clamp(Value.get<std::int64_t>(), -MaxMessageMs, MaxMessageMs));
}

double fromTenths(const Json &Value) {
  constexpr auto Max = static_cast<double>(MaxMessageMs);
  return std::clamp(Value.get<double>() / TenthsPerMs, -Max, Max);
}

GatewayInstance decodeInstance(const Json &Name, const Json &Start) {
  return {Name.get<std::string>(), Start.get<std::uint64_t>()};
}

Json encode(const ScheduleRequest &R) {
  const ChoiceQuery &Q = R.m_query;
  Json Out = Json::array(
      {encodeEnum(MessageKind::Request), R.m_sender.m_name, R.m_sender.m_start,
       R.m_ticket, R.m_domain, Q.m_service, Q.m_model, Q.m_adapter,
       Q.m_size.m_kvTokens, Q.m_size.m_promptTokens, Q.m_rank, Q.m_affinity,
       Q.m_excluded, Q.m_mayRevisit, Q.m_mayProbe, R.m_onTime.count(),
       R.m_maxWait.count()});
  if (!Q.m_account.empty())
    Out.push_back(Q.m_account);
  return Out;
}

ScheduleRequest decodeRequest(const Json &In) {
  ScheduleRequest R;
  R.m_sender = decodeInstance(In.at(1), In.at(2));
  In.at(3).get_to(R.m_ticket);
  In.at(4).get_to(R.m_domain);
  ChoiceQuery &Q = R.m_query;
  In.at(5).get_to(Q.m_service);
  In.at(6).get_to(Q.m_model);
  In.at(7).get_to(Q.m_adapter);
  In.at(8).get_to(Q.m_size.m_kvTokens);
  In.at(9).get_to(Q.m_size.m_promptTokens);
  In.at(10).get_to(Q.m_rank);
  In.at(11).get_to(Q.m_affinity);
  In.at(12).get_to(Q.m_excluded);
  In.at(13).get_to(Q.m_mayRevisit);
  In.at(14).get_to(Q.m_mayProbe);
  R.m_onTime = decodeTime(In.at(15));
  R.m_maxWait = decodeTime(In.at(16));
  if (In.size() > 17) // Else without an account, or from an older gateway.
    In.at(17).get_to(Q.m_account);
  return R;
}

Json encode(const ScheduleReply &R) {
  return Json::array({encodeEnum(MessageKind::Reply), R.m_ticket,
                      R.m_receiverStart, R.m_sender, encodeEnum(R.m_status),
                      encodeEnum(R.m_choice.m_obstacle), R.m_choice.m_endpoint,
                      tenths(R.m_choice.m_scoreMs),
                      R.m_choice.m_pendingPrefillTokens, R.m_choice.m_load,
                      R.m_choice.m_candidates, R.m_expectedWait.count()});
}

ScheduleReply decodeReply(const Json &In) {
  ScheduleReply R;
  In.at(1).get_to(R.m_ticket);
  In.at(2).get_to(R.m_receiverStart);
  In.at(3).get_to(R.m_sender);
  R.m_status = decodeEnum(In.at(4), ScheduleStatusNames);
  R.m_choice.m_obstacle = decodeEnum(In.at(5), ChoiceObstacleNames);
  In.at(6).get_to(R.m_choice.m_endpoint);
  R.m_choice.m_scoreMs = fromTenths(In.at(7));
  In.at(8).get_to(R.m_choice.m_pendingPrefillTokens);
  In.at(9).get_to(R.m_choice.m_load);
  In.at(10).get_to(R.m_choice.m_candidates);
  R.m_expectedWait = decodeTime(In.at(11));
  return R;
}

Json encode(const AttemptUpdate &U) {
  const AttemptObservation &O = U.m_observation;
  return Json::array(
      {encodeEnum(MessageKind::Update), U.m_sender.m_name, U.m_sender.m_start,
       U.m_ticket, encodeEnum(U.m_stage),
       O.m_health ? encodeEnum(*O.m_health) : Json(), tenths(O.m_firstByteMs),
       tenths(O.m_firstEventMs), tenths(O.m_intervalMs),
       O.m_stalled ? Json(*O.m_stalled) : Json(), O.m_artifactRejected,
       O.m_endpointReplaced, O.m_leaving, O.m_pause.count(), O.m_incarnation});
}

AttemptUpdate decodeUpdate(const Json &In) {
  AttemptUpdate U;
  U.m_sender = decodeInstance(In.at(1), In.at(2));
  In.at(3).get_to(U.m_ticket);
  U.m_stage = decodeEnum(In.at(4), AttemptStageNames);
  AttemptObservation &O = U.m_observation;
  if (!In.at(5).is_null())
    O.m_health = decodeEnum(In.at(5), AttemptHealthNames);
  O.m_firstByteMs = fromTenths(In.at(6));
  O.m_firstEventMs = fromTenths(In.at(7));
  O.m_intervalMs = fromTenths(In.at(8));
  if (!In.at(9).is_null())
    O.m_stalled = In.at(9).get<bool>();
  In.at(10).get_to(O.m_artifactRejected);
  In.at(11).get_to(O.m_endpointReplaced);
  if (In.size() <= 12)
    return U; // From a gateway that does not read such notices.
  In.at(12).get_to(O.m_leaving);
  O.m_pause = decodeTime(In.at(13));
  In.at(14).get_to(O.m_incarnation);
  return U;
}

Json encode(const OpenTickets &T) {
  return Json::array({encodeEnum(MessageKind::OpenTickets), T.m_sender.m_name,
                      T.m_sender.m_start, T.m_tickets});
}

OpenTickets decodeOpenTickets(const Json &In) {
  OpenTickets T;
  T.m_sender = decodeInstance(In.at(1), In.at(2));
  In.at(3).get_to(T.m_tickets);
  return T;
}

Json encode(const StoreRelay &R) {
  Json Changes = Json::array();
  for (const StoreChange &C : R.m_changes)
    Changes.push_back(Json::array(
        {C.m_key,
         C.m_value ? Json::binary({C.m_value->begin(), C.m_value->end()})
                   : Json(),
         C.m_version.m_revision, C.m_lease}));
  // A receiver that knows no eras must not take a relay of another era than 0.
  const Json From = R.m_from.m_era == 0
                        ? Json(R.m_from.m_revision)
                        : Json::array({R.m_from.m_era, R.m_from.m_revision});
  Json Out = Json::array({encodeEnum(MessageKind::StoreRelay), R.m_sender, From,
                          R.m_to.m_revision, std::move(Changes)});
  if (R.m_age)
    Out.push_back(R.m_age->count());
  if (R.m_age && R.m_configurationOnly)
    Out.push_back(true);
  return Out;
}

/// A version of a relay; throws std::out_of_range for one that no store has.
StoreVersion decodeVersion(std::uint64_t Era, const Json &Revision) {
  const StoreVersion Version{Era, Revision.get<std::uint64_t>()};
  if (!Version.isValid())
    throw std::out_of_range("a version of the store is too large");
  return Version;
}

StoreRelay decodeStoreRelay(const Json &In) {
  StoreRelay R;
  In.at(1).get_to(R.m_sender);
  const Json &From = In.at(2);
  const std::uint64_t Era =
      From.is_array() ? From.at(0).get<std::uint64_t>() : 0;
  R.m_from = decodeVersion(Era, From.is_array() ? From.at(1) : From);
  R.m_to = decodeVersion(Era, In.at(3));
  for (const Json &Row : In.at(4)) {
    StoreChange C;
    Row.at(0).get_to(C.m_key);
    if (!Row.at(1).is_null()) {
      const auto &Bytes = Row.at(1).get_binary();
      C.m_value = std::string(Bytes.begin(), Bytes.end());
    }
    C.m_version = decodeVersion(Era, Row.at(2));
    Row.at(3).get_to(C.m_lease);
    R.m_changes.push_back(std::move(C));
  }
  if (In.size() > 5 && !In.at(5).is_null())
    R.m_age = decodeTime(In.at(5));
  if (In.size() > 6)
    In.at(6).get_to(R.m_configurationOnly);
  return R;
}

Json encode(const StartQuery &Q) {
  return Json::array({encodeEnum(MessageKind::StartQuery), Q.m_sender.m_name,
                      Q.m_sender.m_start, Q.m_domain});
}

StartQuery decodeStartQuery(const Json &In) {
  return {decodeInstance(In.at(1), In.at(2)), In.at(3).get<std::string>()};
}

SchedulingMessage decode(const Json &In) {
  switch (static_cast<MessageKind>(In.at(0).get<unsigned>())) {
  case MessageKind::Request:
    return decodeRequest(In);
  case MessageKind::Reply:
    return decodeReply(In);
  case MessageKind::Update:
    return decodeUpdate(In);
  case MessageKind::OpenTickets:
    return decodeOpenTickets(In);
  case MessageKind::StoreRelay:
    return decodeStoreRelay(In);
  case MessageKind::StartQuery:
    return decodeStartQuery(In);
  }
  throw std::out_of_range("unknown kind of message");
}

} // namespace

std::string encodeSchedulingMessage(const SchedulingMessage &Message) {
  std::string Out;
  Json::to_cbor(std::visit([](const auto &M) { return encode(M); }, Message),
                Out);
  return Out;
}

Result<SchedulingMessage> decodeSchedulingMessage(const std::string &Bytes) {
  try {
    return decode(pvt::parseMessage(Bytes));
  } catch (const std::exception &E) {
    return makeError(ErrorKind::Protocol,
                     std::string("datagram is not a scheduling message: ") +
                         E.what() +
                         "; check that all gateways run the same version");
  }
}

bool isSchedulingMessage(const std::string &Bytes) {
  return !Bytes.empty() &&
         static_cast<unsigned char>(Bytes[0]) >> CborMajorTypeShift ==
             CborArrayType;
}

} // namespace primroseworks::gateway
