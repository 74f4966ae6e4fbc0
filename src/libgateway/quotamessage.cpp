// CBOR encoding of the quota messages: an array that starts with the kind of
// message, which no scheduling message has.
#include "libgateway/quotamessage.h"
#include "libbase/limitedjson.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace primroseworks::gateway {

namespace {

using namespace quota;
using Json = nlohmann::json;

/// Numbers below 24, which CBOR encodes in one byte.
enum class MessageKind : unsigned char {
  Request = 16,
  Reply,
  Refund,
  CreditRequest,
  CreditReply
};

constexpr unsigned char CborArrayType = 4;
constexpr unsigned CborMajorTypeShift = 5;
/// Longest wait in a message; a longer one is reduced to it.
constexpr std::int64_t MaxWaitMs = 86'400'000;

unsigned numberOf(MessageKind Kind) { return static_cast<unsigned>(Kind); }

Milliseconds decodeWait(const Json &In) {
  return Milliseconds(
      std::clamp<std::int64_t>(In.get<std::int64_t>(), 0, MaxWaitMs));
}

QuotaStatus decodeStatus(const Json &In) {
  const auto Number = In.get<unsigned>();
  if (Number >= QuotaStatusNames.size())
    throw std::out_of_range("unknown status " + std::to_string(Number));
  return static_cast<QuotaStatus>(Number);
}

QuotaTicket decodeTicket(const Json &In) {
  return {In.at(1).get<std::string>(), In.at(2).get<std::uint64_t>(),
          In.at(3).get<std::uint64_t>()};
}

Json encode(const QuotaRequest &R) {
  return Json::array({numberOf(MessageKind::Request), R.m_ticket.m_sender,
                      R.m_ticket.m_start, R.m_ticket.m_number, R.m_account,
                      R.m_cost});
}

Json encode(const QuotaReply &R) {
  return Json::array({numberOf(MessageKind::Reply), R.m_ticket.m_sender,
                      R.m_ticket.m_start, R.m_ticket.m_number, R.m_agent,
                      static_cast<unsigned>(R.m_status), R.m_wait.count()});
}

QuotaReply decodeReply(const Json &In) {
  return {decodeTicket(In), In.at(4).get<std::string>(), decodeStatus(In.at(5)),
          decodeWait(In.at(6))};
}

Json encode(const QuotaRefund &R) {
  return Json::array({numberOf(MessageKind::Refund), R.m_ticket.m_sender,
                      R.m_ticket.m_start, R.m_ticket.m_number});
}

Json encode(const CreditRequest &R) {
  Json Asks = Json::array();
  for (const CreditAsk &A : R.m_asks)
    Asks.push_back(Json::array({A.m_account, A.m_least, A.m_unit, A.m_want}));
  return Json::array({numberOf(MessageKind::CreditRequest), R.m_agent,
                      R.m_start, R.m_number, R.m_version, R.m_agents, R.m_token,
                      R.m_stamp, std::move(Asks)});
}

CreditRequest decodeCreditRequest(const Json &In) {
  CreditRequest R;
  In.at(1).get_to(R.m_agent);
  In.at(2).get_to(R.m_start);
  In.at(3).get_to(R.m_number);
  In.at(4).get_to(R.m_version);
  In.at(5).get_to(R.m_agents);
  In.at(6).get_to(R.m_token);
  In.at(7).get_to(R.m_stamp);
  for (const Json &Row : In.at(8))
    R.m_asks.push_back({Row.at(0).get<std::string>(), Row.at(1).get<Amount>(),
                        Row.at(2).get<Amount>(), Row.at(3).get<Amount>()});
  return R;
}

Json encode(const CreditReply &R) {
  Json Grants = Json::array();
  for (const CreditGrant &G : R.m_grants)
    Grants.push_back(Json::array({G.m_account, G.m_amount, G.m_wait.count()}));
  return Json::array({numberOf(MessageKind::CreditReply), R.m_agent, R.m_start,
                      R.m_number, R.m_version, R.m_agents, R.m_token, R.m_stamp,
                      R.m_settled, std::move(Grants)});
}

CreditReply decodeCreditReply(const Json &In) {
  CreditReply R;
  In.at(1).get_to(R.m_agent);
  In.at(2).get_to(R.m_start);
  In.at(3).get_to(R.m_number);
  In.at(4).get_to(R.m_version);
  In.at(5).get_to(R.m_agents);
  In.at(6).get_to(R.m_token);
  In.at(7).get_to(R.m_stamp);
  In.at(8).get_to(R.m_settled);
  for (const Json &Row : In.at(9))
    R.m_grants.push_back({Row.at(0).get<std::string>(), Row.at(1).get<Amount>(),
                          decodeWait(Row.at(2))});
  return R;
}

QuotaMessage decode(const Json &In) {
  switch (static_cast<MessageKind>(In.at(0).get<unsigned>())) {
  case MessageKind::Request:
    return QuotaRequest{decodeTicket(In), In.at(4).get<std::string>(),
                        In.at(5).get<Amount>()};
  case MessageKind::Reply:
    return decodeReply(In);
  case MessageKind::Refund:
    return QuotaRefund{decodeTicket(In)};
  case MessageKind::CreditRequest:
    return decodeCreditRequest(In);
  case MessageKind::CreditReply:
    return decodeCreditReply(In);
  }
  throw std::out_of_range("unknown kind of message");
}

} // namespace

std::string encodeQuotaMessage(const QuotaMessage &Message) {
  std::string Out;
  Json::to_cbor(std::visit([](const auto &M) { return encode(M); }, Message),
                Out);
  return Out;
}

Result<QuotaMessage> decodeQuotaMessage(const std::string &Bytes) {
  try {
    return decode(pvt::parseMessage(Bytes));
  } catch (const std::exception &E) {
    return makeError(ErrorKind::Protocol,
                     std::string("datagram is not a quota message: ") +
                         E.what() +
                         "; check that all gateways run the same version");
  }
}

bool isQuotaMessage(const std::string &Bytes) {
  if (Bytes.size() < 2)
    return false;
  const auto First = static_cast<unsigned char>(Bytes[0]);
  const auto Kind = static_cast<unsigned char>(Bytes[1]);
  return First >> CborMajorTypeShift == CborArrayType &&
         Kind >= numberOf(MessageKind::Request) &&
         Kind <= numberOf(MessageKind::CreditReply);
}

} // namespace primroseworks::gateway
