// Tests of the selection of peer report receivers.
#include "libgateway/peeraudience.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <set>

using namespace primroseworks::gateway;

namespace {

const std::map<std::string, std::string> Regions = {{"d0", "r0"}, {"d1", "r0"},
                                                    {"d2", "r1"}, {"d3", "r1"},
                                                    {"d4", "r2"}, {"d5", "r2"}};

/// Returns gateways in six failure domains, with names that sort by domain. Of
/// each domain, the third one has the largest VM.
std::vector<Member> fleet(unsigned Count) {
  std::vector<Member> Out;
  std::map<unsigned, unsigned> InDomain;
  for (unsigned I = 0; I < Count; ++I) {
    const unsigned Domain = I * 6 / Count;
    const double Cpu = ++InDomain[Domain] == 3 ? 0.5 : 0.12;
    Out.push_back({"vm-" + std::to_string(Domain) + "-" + std::to_string(I),
                   "10.0.0.1", "d" + std::to_string(Domain), Cpu});
  }
  return Out;
}

PeerAudience audience(unsigned Count, const std::string &Name = "vm-2-x",
                      const std::string &Domain = "d2") {
  PeerAudience A(Name, Domain, Regions);
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
  EXPECT_EQ(A.coordinatorCount(), 0U);
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
  const std::size_t MaxReceivers = Regions.size() + 1;
  for (const unsigned Count : {30U, 88U, 300U, 400U}) {
    PeerAudience A = audience(Count);
    EXPECT_LE(A.receivers("", false).size(), MaxReceivers) << Count;
    EXPECT_LE(A.receivers("vm-0-0", true).size(), MaxReceivers) << Count;
    EXPECT_LE(A.receivers("vm-0-0", false).size(), 1U) << Count;
    EXPECT_LE(A.directPeers().size(), MaxReceivers) << Count;
  }
}

// Guards against a next leader that knows no demand when it takes over: without
// a leader, the coordinators, which claim leadership first, get all reports.
TEST(PeerAudience, WithoutLeaderCoordinatorsReceiveReports) {
  PeerAudience A = audience(88);
  EXPECT_EQ(A.receivers("", false).size(), A.coordinatorCount());
  EXPECT_EQ(A.receivers("vm-of-the-past", false).size(), A.coordinatorCount());
}

// Guards against gateways of one region that ask different coordinators for the
// same service, whose requests would then not wait in one queue.
TEST(PeerAudience, GatewaysOfARegionAgreeOnTheScheduler) {
  const PeerAudience A = audience(195, "vm-2-70", "d2");
  const PeerAudience B = audience(195, "vm-3-110", "d3");
  const PeerAudience Elsewhere = audience(195, "vm-4-140", "d4");
  std::set<std::string> First;
  for (std::uint64_t Service = 0; Service < 50; ++Service) {
    EXPECT_EQ(A.plainSchedulers(Service), B.plainSchedulers(Service));
    EXPECT_NE(A.plainSchedulers(Service), Elsewhere.plainSchedulers(Service));
    ASSERT_EQ(A.plainSchedulers(Service).size(), 2U);
    First.insert(A.plainSchedulers(Service).front());
  }
  EXPECT_EQ(First.size(), 2U) << "the services are not shared out";
}

// Guards against several queues for the same engines: the one that frees a slot
// takes it again, and the requests in the others starve. Guards also against a
// region without a scheduler when it is cut off from the others.
TEST(PeerAudience, AllGatewaysAgreeOnTheSchedulerOfTheEngines) {
  const PeerAudience A = audience(195, "vm-2-70", "d2");
  const PeerAudience B = audience(195, "vm-4-140", "d4");
  for (std::size_t I = 0; I < FleetSchedulers; ++I)
    EXPECT_EQ(A.engineSchedulers().at(I), B.engineSchedulers().at(I));
  for (const PeerAudience *P : {&A, &B})
    for (const std::string &Name : P->plainSchedulers(1)) {
      const std::vector<std::string> &List = P->engineSchedulers();
      EXPECT_EQ(std::count(List.begin(), List.end(), Name), 1) << Name;
      EXPECT_TRUE(P->inRegion(Name));
    }
}

// Guards against the work of a coordinator on the smallest VMs.
TEST(PeerAudience, LargestVmOfEachDomainIsCoordinator) {
  const PeerAudience A = audience(195);
  EXPECT_EQ(A.coordinatorCount(), Regions.size());
  for (const Member &M : fleet(195))
    EXPECT_EQ(A.isCoordinator(M.m_name), M.m_cpuShare == 0.5) << M.m_name;
}

// Guards against a region without a coordinator once it has lost one VM.
TEST(PeerAudience, RegionOfOneDomainHasASecondCoordinator) {
  PeerAudience A("vm-x", "d0", {{"d0", "r0"}, {"d1", "r1"}});
  std::vector<Member> Members;
  for (int I = 0; I < 20; ++I)
    Members.push_back(
        {"vm-" + std::to_string(I), "10.0.0.1", I < 10 ? "d0" : "d1", 0.25});
  A.setMembers(Members);
  EXPECT_EQ(A.plainSchedulers(1).size(), MinCoordinatorsPerRegion);
  EXPECT_EQ(A.coordinatorCount(), 2 * MinCoordinatorsPerRegion);
}

// Guards against gateways that no coordinator sends the total loads to.
TEST(PeerAudience, EachGatewayDependsOnOneCoordinator) {
  const std::vector<Member> All = fleet(195);
  std::map<std::string, unsigned> Sources;
  for (const Member &M : All) {
    PeerAudience A(M.m_name, M.m_failureDomain, Regions);
    A.setMembers(All);
    for (const Member *D : A.dependents())
      ++Sources[D->m_name];
  }
  for (const Member &M : All)
    EXPECT_EQ(Sources[M.m_name], M.m_cpuShare == 0.5 ? 0U : 1U) << M.m_name;
}
