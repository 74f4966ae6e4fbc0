// CBOR encoding of the reports between gateways.
#include "libgateway/peerreport.h"
#include "libbase/jsonnumber.h"
#include "libbase/limitedjson.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace primroseworks::gateway {

namespace {

using Json = nlohmann::json;

/// Units of a used share of 1 in reports.
constexpr double RetryUseUnits = 1000;

unsigned decodeCount(const Json &Value) {
  return pvt::unsignedNumber<unsigned>(Value);
}

double decodeAmount(const Json &Value) { return decodeCount(Value); }

std::uint64_t decodeNumber(const Json &Value) {
  return pvt::unsignedNumber<std::uint64_t>(Value);
}

Json encodeHeld(const std::vector<HeldModel> &Held) {
  Json Out = Json::array();
  for (const HeldModel &M : Held)
    Out.push_back(Json::array({M.m_name, M.m_version, M.m_adapters}));
  return Out;
}

std::vector<HeldModel> decodeHeld(const Json &Rows) {
  std::vector<HeldModel> Out;
  for (const Json &Row : Rows) {
    HeldModel M;
    Row.at(0).get_to(M.m_name);
    M.m_version = decodeNumber(Row.at(1));
    Row.at(2).get_to(M.m_adapters);
    Out.push_back(std::move(M));
  }
  return Out;
}

Json encodeLoads(const std::vector<PeerEndpointLoad> &Loads) {
  Json Out = Json::array();
  for (const PeerEndpointLoad &L : Loads)
    Out.push_back(
        Json::array({L.m_endpoint, L.m_load.m_requests, L.m_load.m_kvTokens,
                     L.m_load.m_pendingPrefillTokens}));
  return Out;
}

std::vector<PeerEndpointLoad> decodeLoads(const Json &Rows) {
  std::vector<PeerEndpointLoad> Out;
  for (const Json &Row : Rows)
    Out.push_back({Row.at(0).get<std::string>(),
                   {decodeCount(Row.at(1)), decodeNumber(Row.at(2)),
                    decodeNumber(Row.at(3))}});
  return Out;
}

Json encode(const PeerReport &R) {
  Json Out = {{"n", R.m_sender}, {"t", R.m_start}, {"s", R.m_sequence}};
  Out["l"] = encodeLoads(R.m_loads);
  if (R.m_leaderToken != 0)
    Out["k"] = R.m_leaderToken;
  if (R.m_partial)
    Out["p"] = true;
  if (!R.m_fleetLoads.empty())
    Out["f"] = encodeLoads(R.m_fleetLoads);
  if (!R.m_demands.empty()) {
    Json &Demands = Out["d"] = Json::array();
    for (const PeerModelDemand &D : R.m_demands)
      Demands.push_back(
          Json::array({D.m_model, static_cast<unsigned>(D.m_demand.m_running),
                       static_cast<unsigned>(D.m_demand.m_waiting),
                       static_cast<unsigned>(D.m_demand.m_arrivals * 100)}));
  }
  if (!R.m_wantedAdapters.empty()) {
    Json &Wanted = Out["w"] = Json::array();
    for (const PeerWantedAdapter &W : R.m_wantedAdapters)
      Wanted.push_back(
          Json::array({W.m_artifact.first, W.m_artifact.second, W.m_requests}));
  }
  if (!R.m_usedAdapters.empty()) {
    Json &Used = Out["u"] = Json::array();
    for (const ArtifactName &A : R.m_usedAdapters)
      Used.push_back(Json::array({A.first, A.second}));
  }
  if (!R.m_holdings.empty()) {
    Json &Holdings = Out["h"] = Json::array();
    for (const PeerHolding &H : R.m_holdings)
      Holdings.push_back(Json::array(
          {H.m_endpoint, H.m_incarnation, H.m_orders, encodeHeld(H.m_held)}));
  }
  if (!R.m_strikes.empty()) {
    Json &Strikes = Out["x"] = Json::array();
    for (const PeerStrike &S : R.m_strikes)
      Strikes.push_back(Json::array({S.m_fingerprint, S.m_crash}));
  }
  if (!R.m_partStrikes.empty()) {
    Json &Strikes = Out["y"] = Json::array();
    for (const PeerPartStrike &S : R.m_partStrikes)
      Strikes.push_back(
          Json::array({S.m_part, S.m_crash, S.m_request,
                       static_cast<std::uint64_t>(std::max<std::int64_t>(
                           0, static_cast<std::int64_t>(S.m_age.count())))}));
  }
  if (!R.m_overruns.empty()) {
    Json &Overruns = Out["o"] = Json::array();
    for (const PeerOverrun &O : R.m_overruns)
      Overruns.push_back(Json::array({O.m_endpoint, O.m_incarnation}));
  }
  if (R.m_answerTo != 0) {
    Out["a"] = R.m_answerTo;
    Json &Uses = Out["r"] = Json::array();
    for (const auto &[Service, Use] : R.m_retryUses)
      Uses.push_back(Json::array({Service, std::lround(Use * RetryUseUnits)}));
  }
  return Out;
}

PeerReport decode(const Json &In) {
  PeerReport R;
  In.at("n").get_to(R.m_sender);
  R.m_start = decodeNumber(In.at("t"));
  R.m_sequence = decodeNumber(In.at("s"));
  R.m_loads = decodeLoads(In.at("l"));
  R.m_leaderToken = pvt::unsignedMember(In, "k", std::uint64_t{0});
  R.m_partial = In.value("p", false);
  R.m_fleetLoads = decodeLoads(In.value("f", Json::array()));
  for (const Json &Row : In.value("d", Json::array()))
    R.m_demands.push_back({Row.at(0).get<std::string>(),
                           {decodeAmount(Row.at(1)), decodeAmount(Row.at(2)),
                            decodeAmount(Row.at(3)) / 100}});
  for (const Json &Row : In.value("w", Json::array()))
    R.m_wantedAdapters.push_back(
        {{Row.at(0).get<std::string>(), Row.at(1).get<std::string>()},
         decodeCount(Row.at(2))});
  for (const Json &Row : In.value("u", Json::array()))
    R.m_usedAdapters.emplace_back(Row.at(0).get<std::string>(),
                                  Row.at(1).get<std::string>());
  for (const Json &Row : In.value("h", Json::array()))
    R.m_holdings.push_back({Row.at(0).get<std::string>(),
                            decodeNumber(Row.at(1)), decodeNumber(Row.at(2)),
                            decodeHeld(Row.at(3))});
  for (const Json &Row : In.value("x", Json::array()))
    R.m_strikes.push_back({decodeNumber(Row.at(0)), decodeNumber(Row.at(1))});
  for (const Json &Row : In.value("y", Json::array()))
    R.m_partStrikes.push_back({decodeNumber(Row.at(0)), decodeNumber(Row.at(1)),
                               decodeNumber(Row.at(2)),
                               Milliseconds(decodeCount(Row.at(3)))});
  for (const Json &Row : In.value("o", Json::array()))
    R.m_overruns.push_back(
        {Row.at(0).get<std::string>(), decodeNumber(Row.at(1))});
  R.m_answerTo = pvt::unsignedMember(In, "a", std::uint64_t{0});
  for (const Json &Row : In.value("r", Json::array()))
    R.m_retryUses[Row.at(0).get<std::string>()] =
        std::min(decodeAmount(Row.at(1)) / RetryUseUnits, 1.0);
  return R;
}

} // namespace

std::string encodePeerReport(const PeerReport &Report) {
  std::string Out;
  Json::to_cbor(encode(Report), Out);
  if (Out.size() <= MaxPeerReportBytes)
    return Out;
  PeerReport Short = Report;
  Short.m_usedAdapters.clear();
  Short.m_wantedAdapters.resize(
      std::min<std::size_t>(Short.m_wantedAdapters.size(), 100));
  Short.m_strikes.resize(std::min<std::size_t>(Short.m_strikes.size(), 100));
  Short.m_partStrikes.resize(
      std::min<std::size_t>(Short.m_partStrikes.size(), 100));
  Out.clear();
  Json::to_cbor(encode(Short), Out);
  return Out;
}

Result<PeerReport> decodePeerReport(const std::string &Bytes) {
  try {
    return decode(pvt::parseMessage(Bytes));
  } catch (const std::exception &E) {
    return makeError(ErrorKind::Protocol,
                     std::string("peer datagram is not a valid report: ") +
                         E.what() +
                         "; check that all gateways run the same version");
  }
}

} // namespace primroseworks::gateway
