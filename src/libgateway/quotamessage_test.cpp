// Tests of the encoding of quota messages, and of their volume at the target
// size.
#include "libgateway/quotamessage.h"
#include "libgateway/schedulingmessage.h"
#include "libquota/quotasim_fake.h"

#include <gtest/gtest.h>

using namespace primroseworks;
using namespace primroseworks::gateway;
using namespace primroseworks::quota;
using namespace primroseworks::quota::testing;

TEST(QuotaMessage, EncodingKeepsAllFields) {
  CreditReply Reply;
  Reply.m_agent = "vm-1";
  Reply.m_start = 1765000000000;
  Reply.m_number = 5;
  Reply.m_version = 6;
  Reply.m_agents = 7;
  Reply.m_token = 8;
  Reply.m_stamp = 9;
  Reply.m_settled = true;
  Reply.m_grants = {{"a", 10, Milliseconds(11)}};
  const std::string Bytes = encodeQuotaMessage(Reply);
  EXPECT_TRUE(isQuotaMessage(Bytes));
  const Result<QuotaMessage> Decoded = decodeQuotaMessage(Bytes);
  ASSERT_TRUE(Decoded) << Decoded.error().m_message;
  const auto &R = std::get<CreditReply>(Decoded.value());
  EXPECT_EQ(encodeQuotaMessage(R), Bytes);
  EXPECT_TRUE(R.m_settled);
  EXPECT_EQ(R.m_stamp, 9);
  EXPECT_EQ(R.m_grants.at(0).m_wait, Milliseconds(11));
}

/// A datagram must reach the right decoder.
TEST(QuotaMessage, IsToldFromASchedulingMessage) {
  const std::string Other = encodeSchedulingMessage(OpenTickets{{"v", 1}, {}});
  EXPECT_FALSE(isQuotaMessage(Other));
  EXPECT_FALSE(decodeQuotaMessage(Other));
}

/// 400 VMs, 30 agents, 1,000 accounts, 1,600 requests a second: at most 3 KB/s
/// a VM.
TEST(QuotaMessage, VolumeFitsTheLargestFleet) {
  constexpr double UdpHeaders = 28;
  constexpr unsigned Vms = 400;
  QuotaSim S({Vms, 30, 0, 0, 1});
  std::vector<std::string> Names;
  for (int I = 0; I < 1000; ++I) {
    Names.push_back("account-" + std::to_string(I));
    S.m_limits.m_limits[Names.back()] = {QuotaUnit::Tokens, 5e3, 1e4, 200};
  }
  S.m_account = [&] { return Names[S.number() % Names.size()]; };
  std::vector<double> Bytes(Vms);
  double Sent = 0;
  S.m_onSend = [&](unsigned From, unsigned To, const QuotaMessage &M) {
    const auto Size =
        UdpHeaders + static_cast<double>(encodeQuotaMessage(M).size());
    Sent += Size;
    Bytes[From] += Size;
    Bytes[To] += Size;
  };
  S.run(6);
  Sent = 0;
  Bytes.assign(Vms, 0);
  S.load(6, 16, 1600 * 1630.0, 1630, [&] { return S.any(); });
  S.run(16);
  const double Mean = Sent / 10 / Vms;
  const double Most = *std::max_element(Bytes.begin(), Bytes.end()) / 10;
  RecordProperty("sent_bytes_per_second_mean", std::to_string(Mean));
  RecordProperty("both_bytes_per_second_most", std::to_string(Most));
  EXPECT_LT(2 * Mean, 3000) << "sent and received";
  EXPECT_EQ(S.m_results[QuotaStatus::Unavailable], 0U);
}
