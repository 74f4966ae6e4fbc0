// The endpoints that this daemon knows: from the platform's list of VMs, with
// a client each. Load reports and cache events are read by a fixed number of
// threads; of engines that others own, mostly the owners' gossip rows tell.
#ifndef PRIMROSED_FLEET_H
#define PRIMROSED_FLEET_H

#include "primrosed/dispatchgate.h"
#include "primrosed/readschedule.h"
#include "primrosed/rowreport.h"
#include "primroseworks/engine.h"
#include "primroseworks/platform.h"
#include "primroseworks/service.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace primroseworks {

/// An engine as shown to operators.
struct EngineStatus {
  VmInfo m_vm;
  std::optional<LoadReport> m_report;
  TimePoint m_reportedAt;
  /// Until when m_report is the present state, although it may be old: a fresh
  /// row of its owner says so, or so many engines are read directly that the
  /// next read of this one is not due yet.
  TimePoint m_currentUntil;
  bool m_owned = false;
  bool m_reachable = true; ///< False: it refuses connections.
};

/// An instance of a service to send a call to.
struct ServiceInstance {
  VmInfo m_vm;
  std::shared_ptr<ServiceClient> m_client;
};

/// What the gossip row of an endpoint's owner tells of it.
struct OwnerRow {
  const EndpointSummary *m_summary = nullptr; ///< Borrowed for the call.
  TimePoint m_progressed; ///< When the row last got a new version.
  /// Until when the row replaces reports; not at all if the owner is not alive.
  TimePoint m_freshUntil;
  /// Until when artifacts that the row leaves out are hidden.
  TimePoint m_hidesUntil;
};

class Fleet {
public:
  Fleet(std::unique_ptr<VmDirectory> Directory, DispatchGate &Gate);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  void start();
  void stop();

  /// Client of an engine; null if the list does not have it.
  std::shared_ptr<EngineClient> engine(const std::string &Name) const;
  /// Instances of a service, those of Region first, leaving ones last.
  std::vector<ServiceInstance> instances(const std::string &Service,
                                         const std::string &Region) const;
  std::vector<EngineStatus> engines() const;
  /// The last list of VMs; empty before the first one.
  std::vector<VmInfo> vms() const;
  bool listed() const { return m_listed; }

  /// Engines that this daemon owns are read every 250 ms, others as far as
  /// their owners' rows do not tell of them.
  void setOwned(const std::vector<std::string> &Names);
  /// Reads an engine's report now, for a ledger that needs the present state.
  Result<LoadReport> readReport(const std::string &Name);
  /// Whether an engine's last report shows an artifact.
  bool holds(const std::string &Name, ArtifactKind Kind,
             const std::string &Held) const;
  /// Models of Names that no reachable engine holds.
  std::set<std::string>
  withoutHome(const std::vector<std::string> &Names) const;
  /// Run id of an engine's last report; 0 before the first one.
  std::uint64_t runId(const std::string &Name) const;
  /// Hides an artifact from the dispatcher, because it is about to be
  /// unloaded; or shows it again.
  void hide(const std::string &Name, const Artifact &Held, bool Hidden);
  /// Takes load, artifacts and state of engines that others own from the rows
  /// of their owners, by endpoint. Engines without one are read directly.
  void onRows(const std::map<std::string, OwnerRow> &Rows, TimePoint Now);
  /// The same for the engines of another region from its summary, which last
  /// progressed at Progressed; call it for each new version. Artifacts, not
  /// only load, may be as old as SummaryLag in it.
  void onRegion(const std::string &Region,
                const std::map<std::string, EndpointSummary> &Told,
                TimePoint Progressed, TimePoint Now);
  /// A request for a model arrives: engines of other regions that hold it and
  /// have no report yet are read at once.
  void noteWanted(const std::string &Model, const std::string &Version);
  /// A request goes to an engine: it is read directly for some time.
  void noteRouted(const std::string &Name);
  /// An engine refused a connection: it is read at once, and is down when it
  /// refuses that too.
  void onRefused(const std::string &Name);
  /// Reads of engines since the start, of owned ones and of others.
  std::pair<std::uint64_t, std::uint64_t> reads() const {
    return {m_ownedReads, m_otherReads};
  }
  /// How the report of an owned engine is read; NotFound: it is not owned.
  using OwnedReader =
      std::function<Result<LoadReport>(const std::string &Name)>;
  /// Set it before start().
  void setOwnedReader(OwnedReader Read) { m_readOwned = std::move(Read); }
  /// Uses a report that came with an answer.
  void onReport(const std::string &Name, const LoadReport &Report);

private:
  struct EngineEntry {
    VmInfo m_vm;
    std::shared_ptr<EngineClient> m_client;
    std::optional<LoadReport> m_report;
    TimePoint m_reportedAt;
    std::uint64_t m_cacheSequence = 0;
    std::set<Artifact> m_hidden;
    std::set<Artifact> m_told; ///< Artifacts in the owner's row.
    TimePoint m_rowAt;         ///< Version of the row that was used last.
    TimePoint m_freshUntil;    ///< See OwnerRow.
    TimePoint m_hidesUntil;
    bool m_downInRow = false;
    bool m_remote = false;        ///< Told by the summary of another region.
    EndpointSummary m_remoteRow;  ///< As last used.
    std::set<Artifact> m_dropped; ///< Told before by that summary, not now.
    TimePoint m_routed;           ///< Last request to it.
    bool m_unread = true;         ///< See ReadKind::Unread.
    TimePoint m_lastRead;         ///< Start of the last read by the schedule.
    TimePoint m_answered;         ///< Last report of the engine itself.
    bool m_reading = false;       ///< Handed to the readers.
    std::atomic<bool> m_readAsOther{false}; ///< It is not owned in that read.
    /// Reports in a row without a connection.
    std::atomic<unsigned> m_misses{0};
    bool m_down = false; ///< Taken from the dispatcher until it answers.
    std::atomic<bool> m_owned{false};
    std::atomic<bool> m_removed{false};
  };
  using EntryPtr = std::shared_ptr<EngineEntry>;
  struct ServiceEntry {
    VmInfo m_vm;
    std::shared_ptr<ServiceClient> m_client;
  };

  void watchDirectory();
  void apply(const std::vector<VmInfo> &List);
  void applyEngine(const VmInfo &Vm);
  void applyService(const VmInfo &Vm);
  void removeMissing(const std::vector<VmInfo> &List);
  void startReaders();
  /// Hands the engines that are due to the readers.
  void schedule();
  void scheduleLocked(TimePoint Now);
  ReadKind kindOf(const EngineEntry &Entry, TimePoint Now) const;
  bool wantedLocked(const EngineEntry &Entry, TimePoint Now) const;
  void readDue();
  /// Applies a row to its engine; true if the dispatcher has to be told.
  bool takeRowLocked(EngineEntry &Entry, const OwnerRow &Row, TimePoint Now);
  static bool takeRemoteLocked(EngineEntry &Entry, const EndpointSummary &Told,
                               TimePoint Progressed,
                               const std::map<Artifact, std::uint64_t> &Sizes);
  /// Takes engines that went down from the dispatcher, and gives back others.
  void noteDownLocked(EngineEntry &Entry,
                      std::vector<std::pair<VmInfo, bool>> &Reach);
  Result<LoadReport> readEntry(EngineEntry &Entry);
  void readCacheEvents(EngineEntry &Entry);
  /// Waits; false when the fleet stops.
  bool pause(Duration Time);

  /// Takes an engine without a connection from the dispatcher, and gives it
  /// back when it answers.
  void noteReach(EngineEntry &Entry, bool Reached);
  void showEndpoint(const VmInfo &Vm);
  /// Tells the dispatcher that an engine went down or came back.
  void showReach(const VmInfo &Vm, bool Down);
  void tellDispatcher(const std::string &Name);

  OwnedReader m_readOwned;
  std::unique_ptr<VmDirectory> m_directory;
  DispatchGate &m_gate;
  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stopping = false;
  std::atomic<bool> m_listed{false};
  std::map<std::string, std::shared_ptr<EngineEntry>> m_engines;
  std::map<std::string, ServiceEntry> m_services;
  std::vector<VmInfo> m_vms;
  std::map<Artifact, std::uint64_t> m_sizes; ///< As in reports.
  /// Last request for each model and version.
  std::map<std::pair<std::string, std::string>, TimePoint> m_wanted;
  ReadSchedule m_schedule;  ///< Used by schedule() only.
  std::size_t m_direct = 0; ///< Engines that are read directly.
  std::deque<EntryPtr> m_due;
  std::size_t m_readingOthers = 0; ///< Reads handed out, of engines not owned.
  std::condition_variable m_dueAdded;
  std::atomic<std::uint64_t> m_ownedReads{0};
  std::atomic<std::uint64_t> m_otherReads{0};
  std::thread m_watcher;
  std::thread m_scheduler;
  std::vector<std::thread> m_readers;
};

} // namespace primroseworks

#endif
