// Tests of the life of a request, from the logs of two gateways.
#include "primrosectl/requestlog.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

using namespace primroseworks;
using namespace primroseworks::ctl;

namespace {

class RequestLog : public testing::Test {
protected:
  /// Writes a log file and returns its path.
  std::string write(const std::string &Name, const std::string &Text) {
    std::string Path =
        testing::TempDir() + "requestlog_" + std::to_string(getpid()) + Name;
    std::ofstream(Path) << Text;
    return Path;
  }

  // vm-1 sends a request to e1, which breaks it off, and then rejects it: the
  // leader vm-2 had unloaded its adapter.
  const std::string m_first =
      write("vm-1", R"({"t":990,"event":"store_lost","vm":"vm-1","call":"watch"}
{"t":10100,"event":"endpoint","vm":"vm-1","endpoint":"e2","state":"ready"}
{"t":10300,"event":"attempt","vm":"vm-1","id":"q1","endpoint":"e1","end":"broken","sends":1,"model":"m1","adapter":"a1"}
not a log line
{"t":10350,"event":"request","vm":"vm-1","id":"q2","outcome":"ran","endpoint":"e1","total_ms":20.0}
{"t":10500,"event":"request","vm":"vm-1","id":"q1","outcome":"not_run","reason":"no_endpoint_no_adapter","endpoint":"","waited_ms":180.0,"total_ms":400.0,"model":"m1","adapter":"a1"}
{"t":10600,"event":"store_back","vm":"vm-1"}
)");
  const std::string m_second = write(
      "vm-2",
      R"(vm-2.log: {"t":9000,"event":"order","vm":"vm-2","endpoint":"e1","order":"unload","model":"m1","adapter":"a1"}
{"t":9100,"event":"order","vm":"vm-2","endpoint":"e3","order":"load","model":"m1","adapter":"a2"}
{"t":10200,"event":"store_lost","vm":"vm-2","call":"watch"}
{"t":10290,"event":"attempt","vm":"vm-2","id":"q7","endpoint":"e1","end":"broken"}
)");
};

std::string eventsOf(const RequestLife &Life) {
  std::string Out;
  for (const RelatedEntry &Related : Life.m_entries)
    Out += Related.m_entry.m_event + '@' + Related.m_entry.m_vm + ' ';
  return Out;
}

} // namespace

TEST_F(RequestLog, LinesOfAllVmsAreInOrderOfTime) {
  const auto Life = readRequestLife({m_first, m_second}, "q1");
  ASSERT_TRUE(Life);
  EXPECT_EQ(Life.value().m_arrivedMillis, 10100);
  EXPECT_EQ(eventsOf(Life.value()),
            "order@vm-2 attempt@vm-2 attempt@vm-1 request@vm-1 ");
}

TEST_F(RequestLog, StateOfTheVmThatHandledTheRequestIsShown) {
  write("vm-1", "{\"t\":9990,\"event\":\"store_lost\",\"vm\":\"vm-1\"}\n"
                "{\"t\":10500,\"event\":\"request\",\"vm\":\"vm-1\",\"id\":"
                "\"q1\",\"outcome\":\"not_run\",\"total_ms\":400.0}\n");
  const auto Life = readRequestLife({m_first, m_second}, "q1");
  ASSERT_TRUE(Life);
  EXPECT_EQ(eventsOf(Life.value()), "store_lost@vm-1 request@vm-1 ");
}

TEST_F(RequestLog, SummaryNamesOutcomeAndReason) {
  const auto Life = readRequestLife({m_first, m_second}, "q1");
  ASSERT_TRUE(Life);
  const std::string Text = describe(Life.value());
  EXPECT_EQ(Text.rfind("request q1 at vm-1: not_run, reason "
                       "no_endpoint_no_adapter, waited 180 ms, took 400 ms\n",
                       0),
            0U);
  EXPECT_NE(Text.find("  -1.100 s  model "), std::string::npos) << Text;
  EXPECT_NE(Text.find("end=broken"), std::string::npos);
}

TEST_F(RequestLog, UnknownRequestAndUnreadableFileNameTheRemedy) {
  const auto Unknown = readRequestLife({m_first}, "q9");
  ASSERT_FALSE(Unknown);
  EXPECT_EQ(Unknown.error().m_kind, ErrorKind::NotFound);
  EXPECT_NE(Unknown.error().m_message.find("pass the logs of all VMs"),
            std::string::npos);
  EXPECT_FALSE(readRequestLife({"/nonexistent"}, "q1"));
}

// Guards against a log that fills the memory of the operator's machine.
TEST_F(RequestLog, ManyRelatedLinesAreBounded) {
  std::string Text;
  for (std::size_t I = 0; I < 2 * MaxRelatedEntries; ++I)
    Text += "{\"t\":10400,\"event\":\"attempt\",\"vm\":\"vm-3\",\"id\":\"x\","
            "\"endpoint\":\"e1\"}\n";
  const auto Life = readRequestLife({m_first, write("vm-3", Text)}, "q1");
  ASSERT_TRUE(Life);
  EXPECT_EQ(Life.value().m_entries.size(), MaxRelatedEntries);
  EXPECT_GT(Life.value().m_leftOut, MaxRelatedEntries - 10);
}
