// Seeded arrivals and the mix file.
#include "primrose-load/plan.h"

#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

namespace primroseworks::load {
namespace {

std::vector<double> sharesOf(const Mix &Of) {
  std::vector<double> Out;
  Out.reserve(Of.m_kinds.size());
  for (const WorkKind &Kind : Of.m_kinds)
    Out.push_back(Kind.m_share);
  return Out;
}

WorkKind kindFrom(const YAML::Node &Row) {
  WorkKind Kind;
  Kind.m_model = Row["model"].as<std::string>();
  Kind.m_share = Row["share"].as<double>(Kind.m_share);
  Kind.m_promptBytes = Row["prompt_bytes"].as<unsigned>(Kind.m_promptBytes);
  Kind.m_maxTokens = Row["max_tokens"].as<unsigned>(Kind.m_maxTokens);
  Kind.m_prefixes = Row["prefixes"].as<unsigned>(Kind.m_prefixes);
  Kind.m_keyed = Row["keyed"].as<bool>(Kind.m_keyed);
  const auto Name = Row["rank"].as<std::string>("standard");
  const auto Wanted = parseName(RankNames, Name);
  if (!Wanted)
    throw YAML::Exception(Row.Mark(), "rank '" + Name + "' is not one of " +
                                          allNames(RankNames));
  Kind.m_rank = *Wanted;
  return Kind;
}

Result<Mix> checked(Mix Of, const std::string &Source) {
  double Shares = 0;
  bool Negative = false;
  for (const WorkKind &Kind : Of.m_kinds) {
    Shares += Kind.m_share;
    Negative = Negative || Kind.m_share < 0 || Kind.m_prefixes == 0;
  }
  if (Of.m_kinds.empty() || Shares <= 0 || Negative || Of.m_rate <= 0)
    return makeError(ErrorKind::InvalidArgument,
                     Source + ": needs a positive rate, a kind with a positive "
                              "share, and at least one prefix per kind");
  return Of;
}

} // namespace

Plan::Plan(Mix Of, std::size_t Targets)
    : m_mix(std::move(Of)), m_targets(Targets), m_random(m_mix.m_seed) {
  const std::vector<double> Shares = sharesOf(m_mix);
  m_pick =
      std::discrete_distribution<std::size_t>(Shares.begin(), Shares.end());
}

Arrival Plan::next() {
  m_at += fromSeconds(
      std::exponential_distribution<double>(m_mix.m_rate)(m_random));
  Arrival Out;
  Out.m_number = m_number++;
  Out.m_at = m_at;
  Out.m_kind = m_mix.m_kinds[m_pick(m_random)];
  Out.m_target = m_random() % m_targets;
  Out.m_requestId = m_mix.m_idPrefix + "-" + std::to_string(m_mix.m_seed) +
                    "-" + std::to_string(Out.m_number);
  const std::string Group = std::to_string(m_random() % Out.m_kind.m_prefixes);
  const std::size_t Half = Out.m_kind.m_promptBytes / 2;
  while (Out.m_prompt.size() < Half)
    Out.m_prompt += Out.m_kind.m_model + " group " + Group + ". ";
  Out.m_prompt.resize(Half);
  Out.m_prompt += " Question " + Out.m_requestId + ":";
  while (Out.m_prompt.size() < Out.m_kind.m_promptBytes)
    Out.m_prompt += ' ' + std::to_string(m_random() % 100'000);
  return Out;
}

Result<Mix> readMix(const std::string &File) {
  try {
    const YAML::Node Root = YAML::LoadFile(File);
    Mix Out;
    Out.m_seed = Root["seed"].as<std::uint64_t>(Out.m_seed);
    Out.m_rate = Root["rate"].as<double>(Out.m_rate);
    for (const YAML::Node &Row : Root["mix"])
      Out.m_kinds.push_back(kindFrom(Row));
    return checked(std::move(Out), File);
  } catch (const YAML::Exception &Failure) {
    return makeError(ErrorKind::InvalidArgument,
                     File + ": " + Failure.what() +
                         "; see docs/standins.md for the keys");
  }
}

Result<Mix> mixFromModels(const std::string &Body) {
  const nlohmann::json Root = nlohmann::json::parse(Body, nullptr, false);
  Mix Out;
  try {
    for (const nlohmann::json &Row : Root.at("data")) {
      WorkKind Kind;
      Kind.m_model = Row.at("id").get<std::string>();
      Kind.m_rank = RankNames[Out.m_kinds.size() % RankCount].m_value;
      Out.m_kinds.push_back(std::move(Kind));
    }
  } catch (const nlohmann::json::exception &Failure) {
    return makeError(ErrorKind::Protocol,
                     std::string("the list of models is malformed (") +
                         Failure.what() + "); pass --mix FILE");
  }
  return checked(std::move(Out), "/v1/models");
}

} // namespace primroseworks::load
