// Which members keep links to each other.
#include "primroseworks/gossip.h"

#include <algorithm>
#include <map>
#include <set>
#include <xxhash.h>

namespace primroseworks {
namespace {

/// Links that each member picks in each other region.
constexpr std::size_t LinksPerRegion = 2;

using Names = std::vector<std::string>;

std::uint64_t pairHash(const std::string &A, const std::string &B) {
  const std::string Text = A < B ? A + '/' + B : B + '/' + A;
  return XXH3_64bits(Text.data(), Text.size());
}

/// The members of Region that Member picks. The pair's hash does not depend on
/// the other members, so that a lost member changes no other link.
Names picks(const std::string &Member, const Names &Region) {
  std::vector<std::pair<std::uint64_t, std::string>> Ranked;
  Ranked.reserve(Region.size());
  for (const std::string &Other : Region)
    Ranked.emplace_back(pairHash(Member, Other), Other);
  const std::size_t Count = std::min(LinksPerRegion, Ranked.size());
  std::partial_sort(Ranked.begin(),
                    Ranked.begin() + static_cast<std::ptrdiff_t>(Count),
                    Ranked.end(), std::greater<>());
  Names Out;
  for (std::size_t I = 0; I < Count; ++I)
    Out.push_back(Ranked[I].second);
  return Out;
}

void addRing(const Names &Region, const std::string &Self,
             std::set<std::string> &Out) {
  const auto Found = std::lower_bound(Region.begin(), Region.end(), Self);
  const std::size_t Size = Region.size();
  const std::size_t At = static_cast<std::size_t>(Found - Region.begin());
  for (std::size_t Distance = 1; Distance <= Size / 2; Distance *= 2) {
    Out.insert(Region[(At + Distance) % Size]);
    Out.insert(Region[(At + Size - Distance) % Size]);
  }
}

void addOtherRegion(const Names &Own, const Names &Other,
                    const std::string &Self, std::set<std::string> &Out) {
  for (const std::string &Picked : picks(Self, Other))
    Out.insert(Picked);
  for (const std::string &Member : Other) {
    const Names Theirs = picks(Member, Own);
    if (std::find(Theirs.begin(), Theirs.end(), Self) != Theirs.end())
      Out.insert(Member);
  }
}

} // namespace

std::vector<std::string> linkNeighbours(std::vector<GossipMember> Members,
                                        const std::string &Self) {
  std::set<std::string> Out;
  if (Members.size() <= FullMeshMembers) {
    for (const GossipMember &Member : Members)
      Out.insert(Member.m_name);
  } else {
    std::sort(Members.begin(), Members.end(),
              [](const GossipMember &A, const GossipMember &B) {
                return A.m_name < B.m_name;
              });
    std::map<std::string, Names> Regions;
    std::string Own;
    for (const GossipMember &Member : Members) {
      Regions[Member.m_region].push_back(Member.m_name);
      if (Member.m_name == Self)
        Own = Member.m_region;
    }
    for (const auto &[Region, Names] : Regions)
      if (Region == Own)
        addRing(Names, Self, Out);
      else
        addOtherRegion(Regions[Own], Names, Self, Out);
  }
  Out.erase(Self);
  return {Out.begin(), Out.end()};
}

} // namespace primroseworks
