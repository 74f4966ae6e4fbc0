// Codec of the journal's records.
#include "libjournal/record.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace primroseworks::pvt {

using nlohmann::json;

std::string encodeBase64(const std::string &Bytes) {
  std::string Out(4 * ((Bytes.size() + 2) / 3) + 1, '\0');
  const int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Out.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Out.resize(static_cast<std::size_t>(Length));
  return Out;
}

Result<std::string> decodeBase64(const std::string &Text) {
  std::string Out(Text.size() / 4 * 3 + 3, '\0');
  const int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Out.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Length < 0)
    return makeError(ErrorKind::Protocol, "a recorded body is not base64; an "
                                          "operator must delete its slot");
  // EVP_DecodeBlock counts the padding as bytes.
  std::size_t Padding = 0;
  while (Padding < 2 && Padding < Text.size() &&
         Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  Out.resize(static_cast<std::size_t>(Length) - Padding);
  return Out;
}

namespace {

/// The body as JSON text if it is valid UTF-8 and escapes do not make it longer
/// than base64, and in base64 otherwise.
void putBody(json &Value, const std::string &Body) {
  try {
    const json Text = Body;
    if (Text.dump().size() <= Body.size() / 3 * 4 + 4) {
      Value["body"] = Text;
      return;
    }
  } catch (const json::type_error &) {
    // Not UTF-8.
  }
  Value["body64"] = encodeBase64(Body);
}

Result<Record> decodeRecord(const json &Value) {
  Record Out;
  const auto Kind =
      parseName(RecordKindNames, Value.at("t").get<std::string>());
  if (!Kind)
    return makeError(ErrorKind::Protocol,
                     "the journal has a record of an unknown kind; update "
                     "this daemon");
  Out.m_kind = *Kind;
  if (Out.m_kind == RecordKind::Open)
    return Out;
  Out.m_claim.m_key = Value.at("k").get<std::string>();
  Out.m_claim.m_requestId = Value.at("r").get<std::string>();
  if (Out.m_kind == RecordKind::Release)
    return Out;
  Out.m_claim.m_bodyHash = Value.at("h").get<std::string>();
  Out.m_claim.m_member = Value.at("m").get<std::string>();
  Out.m_claim.m_incarnation = Value.at("i").get<std::uint64_t>();
  Out.m_claim.m_endpoint = Value.at("e").get<std::string>();
  Out.m_at = WallMillis(Value.at("at").get<long long>());
  if (Out.m_kind != RecordKind::Result)
    return Out;
  Out.m_result.m_status = Value.at("status").get<int>();
  Out.m_result.m_contentType = Value.at("type").get<std::string>();
  Out.m_parts = Value.value("parts", std::size_t{0});
  if (Value.contains("body"))
    Out.m_result.m_body = Value.at("body").get<std::string>();
  if (Value.contains("body64")) {
    BOOST_OUTCOME_TRY(Body,
                      decodeBase64(Value.at("body64").get<std::string>()));
    Out.m_result.m_body = std::move(Body);
  }
  return Out;
}

} // namespace

std::string encodeRecord(const Record &R) {
  json Value = {{"t", nameOf(RecordKindNames, R.m_kind)}};
  if (R.m_kind != RecordKind::Open) {
    Value["k"] = R.m_claim.m_key;
    Value["r"] = R.m_claim.m_requestId;
  }
  if (R.m_kind != RecordKind::Open && R.m_kind != RecordKind::Release) {
    Value["h"] = R.m_claim.m_bodyHash;
    Value["m"] = R.m_claim.m_member;
    Value["i"] = R.m_claim.m_incarnation;
    Value["e"] = R.m_claim.m_endpoint;
    Value["at"] = R.m_at.count();
  }
  if (R.m_kind == RecordKind::Result) {
    Value["status"] = R.m_result.m_status;
    Value["type"] = R.m_result.m_contentType;
    if (R.m_parts != 0)
      Value["parts"] = R.m_parts;
    else
      putBody(Value, R.m_result.m_body);
  }
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string encodeBatch(const Batch &Frame,
                        const std::vector<std::string> &Records) {
  json Head = {{"owner", Frame.m_owner},
               {"incarnation", Frame.m_incarnation},
               {"number", Frame.m_number},
               {"checkpoint", Frame.m_checkpoint}};
  std::string Out = Head.dump();
  Out.pop_back();
  Out += ",\"records\":[";
  for (std::size_t I = 0; I < Records.size(); ++I) {
    if (I != 0)
      Out += ',';
    Out += Records[I];
  }
  Out += "]}";
  return Out;
}

Result<Batch> decodeBatch(const std::string &Text) {
  try {
    const json Value = json::parse(Text);
    Batch Out;
    Out.m_owner = Value.at("owner").get<std::string>();
    Out.m_incarnation = Value.at("incarnation").get<std::uint64_t>();
    Out.m_number = Value.at("number").get<std::uint64_t>();
    Out.m_checkpoint = Value.at("checkpoint").get<bool>();
    for (const json &R : Value.at("records")) {
      BOOST_OUTCOME_TRY(Decoded, decodeRecord(R));
      Out.m_records.push_back(std::move(Decoded));
    }
    return Out;
  } catch (const json::exception &E) {
    return makeError(ErrorKind::Protocol,
                     std::string("a journal slot cannot be read (") + E.what() +
                         "); an operator must repair it");
  }
}

} // namespace primroseworks::pvt
