// Encodes and decodes gossip. Field names are short, because rows are sent each
// second.
#include "libpeer/fields_pvt.h"

namespace primroseworks::pvt {
namespace {

// A row is [incarnation, version, version - base or 0 for a whole row, rest];
// `rest` is absent in a row that only shows progress, and a plain list of loads
// in the most frequent case.
Json rowToJson(const RowDelta &Row) {
  Json Out = Json::array({Row.m_incarnation, Row.m_version,
                          Row.m_base == 0 ? 0 : Row.m_version - Row.m_base});
  Json Rest = Json::object();
  putNumber(Rest, "c", Row.m_configRevision);
  if (Row.m_hasIdentity)
    Rest["n"] = {Row.m_identity.m_member, Row.m_identity.m_region,
                 Row.m_identity.m_failureDomain,
                 Row.m_identity.m_programVersion};
  if (Row.m_hasCount)
    Rest["k"] = Row.m_endpointCount;
  if (!Row.m_details.empty()) {
    Json Details = Json::array();
    for (const EndpointDetail &Detail : Row.m_details)
      Details.push_back(
          {Detail.m_index, Detail.m_endpoint, Detail.m_state, Detail.m_models});
    Rest["e"] = std::move(Details);
  }
  putPairs(Rest, "l", Row.m_loads);
  if (Rest.size() == 1 && !Row.m_loads.empty())
    Out.push_back(std::move(Rest["l"]));
  else if (!Rest.empty())
    Out.push_back(std::move(Rest));
  return Out;
}

EndpointDetail detailFromJson(const Json &In) {
  asArray(In, "e", 4);
  EndpointDetail Out;
  Out.m_index = asUnsigned(In[0], "e");
  Out.m_endpoint = asText(In[1], "e");
  Out.m_state = asUnsigned(In[2], "e");
  for (const Json &Model : asArray(In[3], "e"))
    Out.m_models.push_back(asText(Model, "e"));
  return Out;
}

void rowRestFromJson(const Json &Rest, RowDelta &Out) {
  Out.m_configRevision = number(Rest, "c");
  if (const Json *Identity = find(Rest, "n")) {
    asArray(*Identity, "n", 4);
    Out.m_hasIdentity = true;
    Out.m_identity = {asText((*Identity)[0], "n"), asText((*Identity)[1], "n"),
                      asText((*Identity)[2], "n"), asText((*Identity)[3], "n")};
  }
  if (const Json *Count = find(Rest, "k")) {
    Out.m_hasCount = true;
    Out.m_endpointCount = asUnsigned(*Count, "k");
  }
  for (const Json &Detail : elements(Rest, "e"))
    Out.m_details.push_back(detailFromJson(Detail));
  Out.m_loads = getPairs<unsigned, unsigned>(Rest, "l");
}

std::uint64_t baseFromJson(const Json &In, std::uint64_t Version,
                           const char *Name) {
  const std::uint64_t Distance = asNumber(In, Name);
  if (Distance > Version)
    throw BadField{Name};
  return Distance == 0 ? 0 : Version - Distance;
}

RowDelta rowFromJson(const Json &In) {
  asArray(In, "r", 3);
  RowDelta Out;
  Out.m_incarnation = asNumber(In[0], "r");
  Out.m_version = asNumber(In[1], "r");
  Out.m_base = baseFromJson(In[2], Out.m_version, "r");
  if (In.size() < 4)
    return Out;
  if (In[3].is_array()) {
    const Json Rest = {{"l", In[3]}};
    rowRestFromJson(Rest, Out);
  } else if (In[3].is_object()) {
    rowRestFromJson(In[3], Out);
  } else {
    throw BadField{"r"};
  }
  return Out;
}

Json summaryToJson(const SummaryDelta &Summary) {
  Json Out = {{"i", Summary.m_incarnation}, {"n", Summary.m_version}};
  if (Summary.m_base != 0)
    Out["b"] = Summary.m_version - Summary.m_base;
  putText(Out, "r", Summary.m_region);
  Json Known = Json::array();
  Json Named = Json::array();
  for (const ModelSummary &Model : Summary.m_models) {
    Json &Target = Model.m_model.empty() ? Known : Named;
    Target.push_back(Model.m_index);
    Target.push_back(Model.m_replicas);
    Target.push_back(Model.m_loadCode);
    if (!Model.m_model.empty())
      Target.push_back(Model.m_model);
  }
  if (!Known.empty())
    Out["m"] = std::move(Known);
  if (!Named.empty())
    Out["M"] = std::move(Named);
  putPairs(Out, "j", Summary.m_joined);
  putNumbers(Out, "g", Summary.m_left);
  return Out;
}

void modelsFromJson(const Json &In, const char *Name, bool Named,
                    std::vector<ModelSummary> &Out) {
  const Json &Flat = elements(In, Name);
  const std::size_t Stride = Named ? 4 : 3;
  if (Flat.size() % Stride != 0)
    throw BadField{Name};
  for (std::size_t I = 0; I < Flat.size(); I += Stride) {
    ModelSummary Model;
    Model.m_index = asUnsigned(Flat[I], Name);
    Model.m_replicas = asUnsigned(Flat[I + 1], Name);
    Model.m_loadCode = asUnsigned(Flat[I + 2], Name);
    if (Named)
      Model.m_model = asText(Flat[I + 3], Name);
    Out.push_back(std::move(Model));
  }
}

SummaryDelta summaryFromJson(const Json &In) {
  if (!In.is_object())
    throw BadField{"s"};
  SummaryDelta Out;
  Out.m_incarnation = number(In, "i");
  Out.m_version = number(In, "n");
  if (const Json *Base = find(In, "b"))
    Out.m_base = baseFromJson(*Base, Out.m_version, "b");
  Out.m_region = text(In, "r");
  modelsFromJson(In, "M", true, Out.m_models);
  modelsFromJson(In, "m", false, Out.m_models);
  Out.m_joined = getPairs<std::uint64_t, std::string>(In, "j");
  Out.m_left = getNumbers(In, "g");
  return Out;
}

} // namespace

void put(Json &Out, const GossipMessage &Body) {
  Out["i"] = Body.m_incarnation;
  Out["c"] = Body.m_configRevision;
  if (!Body.m_rows.empty()) {
    Json Rows = Json::array();
    for (const RowDelta &Row : Body.m_rows)
      Rows.push_back(rowToJson(Row));
    Out["r"] = std::move(Rows);
  }
  if (!Body.m_summaries.empty()) {
    Json Summaries = Json::array();
    for (const SummaryDelta &Summary : Body.m_summaries)
      Summaries.push_back(summaryToJson(Summary));
    Out["s"] = std::move(Summaries);
  }
  if (Body.m_isDigest)
    Out["d"] = true;
  putPairs(Out, "dr", Body.m_rowVersions);
  putPairs(Out, "ds", Body.m_summaryVersions);
  putNumbers(Out, "wr", Body.m_wantRows);
  putNumbers(Out, "ws", Body.m_wantSummaries);
}

void get(const Json &In, GossipMessage &Body) {
  Body.m_incarnation = number(In, "i");
  Body.m_configRevision = number(In, "c");
  for (const Json &Row : elements(In, "r"))
    Body.m_rows.push_back(rowFromJson(Row));
  for (const Json &Summary : elements(In, "s"))
    Body.m_summaries.push_back(summaryFromJson(Summary));
  Body.m_isDigest = flag(In, "d");
  Body.m_rowVersions = getPairs<std::uint64_t, std::uint64_t>(In, "dr");
  Body.m_summaryVersions = getPairs<std::uint64_t, std::uint64_t>(In, "ds");
  Body.m_wantRows = getNumbers(In, "wr");
  Body.m_wantSummaries = getNumbers(In, "ws");
}

} // namespace primroseworks::pvt
