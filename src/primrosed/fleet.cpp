// The endpoints that this daemon knows.
#include "primrosed/fleet.h"

#include <algorithm>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace primroseworks {

namespace {

// A leaving endpoint must get no new work 3 s after the notice; the list is
// read often enough to leave room for the platform's own lag.
constexpr Milliseconds DirectoryInterval{500};

std::string urlOf(const VmInfo &Vm) {
  return fmt::format("http://{}:{}", Vm.m_address, Vm.m_port);
}

bool sameAddress(const VmInfo &A, const VmInfo &B) {
  return A.m_address == B.m_address && A.m_port == B.m_port;
}

} // namespace

Fleet::Fleet(std::unique_ptr<VmDirectory> Directory, DispatchGate &Gate)
    : m_directory(std::move(Directory)), m_gate(Gate) {}

Fleet::~Fleet() { stop(); }

void Fleet::start() {
  m_watcher = std::thread([this] { watchDirectory(); });
  startReaders();
}

void Fleet::stop() {
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
  m_dueAdded.notify_all();
  if (m_watcher.joinable())
    m_watcher.join();
  if (m_scheduler.joinable())
    m_scheduler.join();
  for (std::thread &Reader : m_readers)
    Reader.join();
  m_readers.clear();
}

bool Fleet::pause(Duration Time) {
  std::unique_lock<std::mutex> Lock(m_mutex);
  return !m_wake.wait_for(Lock, Time, [this] { return m_stopping; });
}

void Fleet::watchDirectory() {
  do {
    auto List = m_directory->list();
    if (List)
      apply(List.value());
    else
      spdlog::debug("event=vm_list_failed error=\"{}\"",
                    List.error().m_message);
  } while (pause(DirectoryInterval));
}

void Fleet::apply(const std::vector<VmInfo> &List) {
  for (const VmInfo &Vm : List) {
    if (Vm.m_kind == VmKind::Engine)
      applyEngine(Vm);
    else if (Vm.m_kind == VmKind::Service)
      applyService(Vm);
  }
  removeMissing(List);
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_vms = List;
  m_listed = true;
}

void Fleet::applyEngine(const VmInfo &Vm) {
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    auto &Slot = m_engines[Vm.m_name];
    if (Slot && !sameAddress(Slot->m_vm, Vm)) {
      Slot->m_removed = true;
      Slot = nullptr;
    }
    if (!Slot) {
      auto Client = createHttpEngineClient(urlOf(Vm));
      if (!Client) {
        spdlog::warn("event=endpoint_rejected endpoint={} error=\"{}\"",
                     Vm.m_name, Client.error().m_message);
        m_engines.erase(Vm.m_name);
        return;
      }
      Slot = std::make_shared<EngineEntry>();
      Slot->m_client = std::move(Client.value());
      Slot->m_vm = Vm;
    } else if (Slot->m_vm.m_state == Vm.m_state) {
      return;
    }
    Slot->m_vm = Vm;
  }
  spdlog::info("event=endpoint endpoint={} region={} failure_domain={} "
               "state={}",
               Vm.m_name, Vm.m_region, Vm.m_failureDomain,
               nameOf(VmStateNames, Vm.m_state));
  showEndpoint(Vm);
}

void Fleet::showEndpoint(const VmInfo &Vm) {
  m_gate.with([&](Dispatcher &D, TimePoint Now) {
    D.setEndpoint({Vm.m_name, Vm.m_region, Vm.m_failureDomain,
                   Vm.m_state == VmState::Leaving ? EndpointState::Leaving
                                                  : EndpointState::Live},
                  Now);
  });
}

void Fleet::applyService(const VmInfo &Vm) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  ServiceEntry &Entry = m_services[Vm.m_name];
  if (!Entry.m_client || !sameAddress(Entry.m_vm, Vm)) {
    auto Client = createHttpServiceClient(urlOf(Vm));
    if (Client)
      Entry.m_client = std::move(Client.value());
  }
  Entry.m_vm = Vm;
}

void Fleet::removeMissing(const std::vector<VmInfo> &List) {
  auto Listed = [&](const std::string &Name) {
    return std::any_of(List.begin(), List.end(),
                       [&](const VmInfo &Vm) { return Vm.m_name == Name; });
  };
  std::vector<std::string> Removed;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    for (auto It = m_engines.begin(); It != m_engines.end();) {
      if (Listed(It->first)) {
        ++It;
        continue;
      }
      It->second->m_removed = true;
      Removed.push_back(It->first);
      It = m_engines.erase(It);
    }
    for (auto It = m_services.begin(); It != m_services.end();)
      It = Listed(It->first) ? std::next(It) : m_services.erase(It);
  }
  for (const std::string &Name : Removed) {
    spdlog::info("event=endpoint endpoint={} state=gone", Name);
    m_gate.with(
        [&](Dispatcher &D, TimePoint Now) { D.removeEndpoint(Name, Now); });
  }
}

void Fleet::onReport(const std::string &Name, const LoadReport &Report) {
  TimePoint Now = std::chrono::steady_clock::now();
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    auto It = m_engines.find(Name);
    if (It == m_engines.end())
      return;
    auto &Last = It->second->m_report;
    bool Newer = !Last || Last->m_runId != Report.m_runId ||
                 Report.m_sequence >= Last->m_sequence;
    if (!Newer)
      return;
    Last = Report;
    It->second->m_reportedAt = Now;
    It->second->m_answered = Now;
    It->second->m_unread = false;
    std::set<Artifact> Held;
    for (const ResidentArtifact &R : Report.m_resident) {
      m_sizes[R.m_artifact] = R.m_bytes;
      Held.insert(R.m_artifact);
    }
    std::set<Artifact> &Dropped = It->second->m_dropped;
    for (auto Each = Dropped.begin(); Each != Dropped.end();)
      Each = Held.count(*Each) != 0 ? std::next(Each) : Dropped.erase(Each);
  }
  tellDispatcher(Name);
}

void Fleet::tellDispatcher(const std::string &Name) {
  LoadReport Report;
  std::set<Artifact> Hidden;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    auto It = m_engines.find(Name);
    if (It == m_engines.end() || !It->second->m_report)
      return;
    const EngineEntry &Entry = *It->second;
    Report = *Entry.m_report;
    Hidden = Entry.m_hidden;
    // A summary is too old to hide what has just been loaded; it hides what it
    // told before: copies that are drained or gone.
    if (Entry.m_remote && std::chrono::steady_clock::now() < Entry.m_freshUntil)
      Hidden.insert(Entry.m_dropped.begin(), Entry.m_dropped.end());
    bool RowHides = !Entry.m_owned && !Entry.m_remote &&
                    std::chrono::steady_clock::now() < Entry.m_hidesUntil;
    for (const ResidentArtifact &R : Report.m_resident)
      if (RowHides && Entry.m_told.count(R.m_artifact) == 0)
        Hidden.insert(R.m_artifact);
  }
  auto IsHidden = [&](const ResidentArtifact &R) {
    return Hidden.count(R.m_artifact) != 0;
  };
  Report.m_resident.erase(std::remove_if(Report.m_resident.begin(),
                                         Report.m_resident.end(), IsHidden),
                          Report.m_resident.end());
  m_gate.with(
      [&](Dispatcher &D, TimePoint Now) { D.onReport(Name, Report, Now); });
}

void Fleet::hide(const std::string &Name, const Artifact &Held, bool Hidden) {
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    auto It = m_engines.find(Name);
    if (It == m_engines.end())
      return;
    if (Hidden)
      It->second->m_hidden.insert(Held);
    else
      It->second->m_hidden.erase(Held);
  }
  tellDispatcher(Name);
}

Result<LoadReport> Fleet::readReport(const std::string &Name) {
  std::shared_ptr<EngineEntry> Entry;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    auto It = m_engines.find(Name);
    if (It != m_engines.end())
      Entry = It->second;
  }
  if (!Entry)
    return makeError(ErrorKind::NotFound,
                     "endpoint " + Name +
                         " is not in the list of VMs; check "
                         "its name");
  return readEntry(*Entry);
}

bool Fleet::holds(const std::string &Name, ArtifactKind Kind,
                  const std::string &Held) const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  auto It = m_engines.find(Name);
  if (It == m_engines.end() || !It->second->m_report)
    return false;
  const auto &Resident = It->second->m_report->m_resident;
  return std::any_of(
      Resident.begin(), Resident.end(), [&](const ResidentArtifact &R) {
        return R.m_artifact.m_kind == Kind && R.m_artifact.m_name == Held;
      });
}

std::set<std::string>
Fleet::withoutHome(const std::vector<std::string> &Names) const {
  std::set<std::string> Missing(Names.begin(), Names.end());
  std::lock_guard<std::mutex> Lock(m_mutex);
  for (const auto &[Name, Entry] : m_engines) {
    if (Entry->m_down)
      continue;
    // An engine that only a summary tells of is read when its model is wanted.
    if (Entry->m_remote &&
        std::chrono::steady_clock::now() < Entry->m_freshUntil)
      for (const Artifact &Told : Entry->m_told)
        if (Told.m_kind == ArtifactKind::Model)
          Missing.erase(Told.m_name);
    if (!Entry->m_report)
      continue;
    for (const ResidentArtifact &R : Entry->m_report->m_resident)
      if (R.m_artifact.m_kind == ArtifactKind::Model)
        Missing.erase(R.m_artifact.m_name);
  }
  return Missing;
}

std::uint64_t Fleet::runId(const std::string &Name) const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  auto It = m_engines.find(Name);
  if (It == m_engines.end() || !It->second->m_report)
    return 0;
  return It->second->m_report->m_runId;
}

std::shared_ptr<EngineClient> Fleet::engine(const std::string &Name) const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  auto It = m_engines.find(Name);
  return It == m_engines.end() ? nullptr : It->second->m_client;
}

std::vector<ServiceInstance> Fleet::instances(const std::string &Service,
                                              const std::string &Region) const {
  std::vector<ServiceInstance> Out;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    for (const auto &[Name, Entry] : m_services)
      if (Entry.m_client && Entry.m_vm.m_service == Service)
        Out.push_back({Entry.m_vm, Entry.m_client});
  }
  auto Distance = [&](const ServiceInstance &I) {
    return (I.m_vm.m_state == VmState::Leaving ? 2 : 0) +
           (I.m_vm.m_region == Region ? 0 : 1);
  };
  std::stable_sort(Out.begin(), Out.end(),
                   [&](const ServiceInstance &A, const ServiceInstance &B) {
                     return Distance(A) < Distance(B);
                   });
  return Out;
}

std::vector<EngineStatus> Fleet::engines() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  std::vector<EngineStatus> Out;
  const Duration Period = directPeriod(m_direct);
  for (const auto &[Name, Entry] : m_engines)
    Out.push_back(
        {Entry->m_vm, Entry->m_report, Entry->m_reportedAt,

         std::max(Entry->m_freshUntil, Entry->m_reportedAt + 2 * Period),
         Entry->m_owned, !Entry->m_down});
  return Out;
}

std::vector<VmInfo> Fleet::vms() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  return m_vms;
}

void Fleet::setOwned(const std::vector<std::string> &Names) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  for (const auto &[Name, Entry] : m_engines)
    Entry->m_owned = std::find(Names.begin(), Names.end(), Name) != Names.end();
}

} // namespace primroseworks
