// What the failure cases share.
#ifndef PRIMROSE_FAULTS_CASES_H
#define PRIMROSE_FAULTS_CASES_H

#include "client.h"
#include "cluster.h"
#include "primrose-standins/tokens.h"

#include <functional>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace primroseworks::faults {

constexpr Milliseconds CaseTimeout{30000};

/// Null, with a failure of the test, if it does not start.
inline std::unique_ptr<Cluster> startCase(ClusterOptions Options) {
  Options.m_binaries = PRIMROSE_BINARY_DIR;
  Options.m_sources = PRIMROSE_SOURCE_DIR;
  auto Made = Cluster::start(Options);
  EXPECT_TRUE(Made) << (Made ? "" : Made.error().m_message);
  return Made ? std::move(Made.value()) : nullptr;
}

inline std::unique_ptr<Cluster> startCase(unsigned Daemons = 3) {
  ClusterOptions Options;
  Options.m_daemons = Daemons;
  return startCase(Options);
}

inline Answer completeAt(const DaemonProcess &Daemon, const std::string &Model,
                         const std::string &Prompt, unsigned Tokens,
                         const Headers &Sent = {}) {
  return call(Daemon.m_url, "POST", "/v1/completions", Sent,
              completionBody(Model, Prompt, Tokens, false), CaseTimeout);
}

/// Whether Holds came true before the time was over.
inline bool eventually(Milliseconds Limit, const std::function<bool()> &Holds) {
  const TimePoint End = std::chrono::steady_clock::now() + Limit;
  while (!Holds()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    std::this_thread::sleep_for(Milliseconds(50));
  }
  return true;
}

/// JSON of a daemon's operator port; null if it did not answer with 200.
inline nlohmann::json shown(Cluster &C, unsigned Daemon,
                            const std::string &Path) {
  auto [Status, Text] = C.operate(Daemon, "GET", Path);
  return Status == 200 ? nlohmann::json::parse(Text, nullptr, false)
                       : nlohmann::json();
}

/// Revision in force at a daemon, 0 if none or no answer.
inline std::uint64_t revisionAt(Cluster &C, unsigned Daemon) {
  nlohmann::json Status = shown(C, Daemon, "/status");
  return Status.is_object() ? Status.value("revision", 0ULL) : 0;
}

/// A counter of the stand-ins' ledger.
inline std::uint64_t counted(Cluster &C, const std::string &Name) {
  auto Ledger = nlohmann::json::parse(C.controlGet("/ledger"), nullptr, false);
  return Ledger["counters"].value(Name, 0ULL);
}

/// Names of the models of the configuration in the examples.
inline std::vector<std::string> modelNames(const Cluster &C) {
  auto Document = nlohmann::json::parse(C.exampleDocument());
  std::vector<std::string> Names;
  for (const auto &[Name, Model] : Document["models"].items())
    Names.push_back(Name);
  return Names;
}

} // namespace primroseworks::faults

#endif
