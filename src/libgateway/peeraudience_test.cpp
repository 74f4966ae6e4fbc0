// Tests of the selection of peer report receivers.
#include "libgateway/peeraudience.h"

#include <gtest/gtest.h>
#include <set>

using namespace primroseworks::gateway;

namespace {

/// Returns gateways in six failure domains, with names that sort by domain.
std::vector<Member> fleet(unsigned Count) {
  std::vector<Member> Out;
  for (unsigned I = 0; I < Count; ++I) {
    const unsigned Domain = I * 6 / Count;
    Out.push_back({"vm-" + std::to_string(Domain) + "-" + std::to_string(I),
                   "10.0.0.1", "d" + std::to_string(Domain)});
  }
  return Out;
}

PeerAudience audience(unsigned Count) {
  PeerAudience A("vm-2-x", "d2");
  A.setMembers(fleet(Count));
  return A;
}

bool contains(const std::vector<const Member *> &List,
              const std::string &Name) {
  for (const Member *M : List)
    if (M->m_name == Name)
      return true;
  return false;
}

} // namespace

TEST(PeerAudience, SmallFleetReportsToAll) {
  PeerAudience A = audience(8);
  EXPECT_FALSE(A.isLarge());
  EXPECT_EQ(A.receivers("vm-0-0", false).size(), 8U);
  EXPECT_TRUE(A.isDirectPeer("vm-5-7"));
}

// Guards against a leader that plans without most of the fleet's demand: with
// 88 gateways, the gateways of the local domain took up the whole receiver
// list, and the leader was not on it.
TEST(PeerAudience, LeaderAlwaysReceivesReports) {
  for (const unsigned Count : {30U, 88U, 300U, 400U}) {
    PeerAudience A = audience(Count);
    const std::string Leader = fleet(Count).back().m_name;
    EXPECT_TRUE(contains(A.receivers(Leader, true), Leader)) << Count;
    EXPECT_TRUE(contains(A.receivers(Leader, false), Leader)) << Count;
  }
}

// Guards against a message count that grows with the square of the fleet size.
TEST(PeerAudience, ReceiversAreBoundedAtAnySize) {
  for (const unsigned Count : {30U, 88U, 300U, 400U}) {
    PeerAudience A = audience(Count);
    EXPECT_LE(A.receivers("", false).size(),
              MaxDirectDomainPeers + RotatingReceivers)
        << Count;
    EXPECT_LE(A.directPeers().size(), MaxDirectDomainPeers) << Count;
  }
  EXPECT_FALSE(audience(400).domainIsDirect());
  EXPECT_TRUE(audience(88).domainIsDirect());
}

// Guards against gateways that never receive each other's reports while there
// is no leader.
TEST(PeerAudience, WithoutLeaderReportsRotateOverAll) {
  PeerAudience A = audience(88);
  std::set<std::string> Receivers;
  for (int I = 0; I < 12; ++I)
    for (const Member *M : A.receivers("", false))
      Receivers.insert(M->m_name);
  EXPECT_EQ(Receivers.size(), 88U);
}
