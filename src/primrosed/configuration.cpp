// The configuration on this daemon.
#include "primrosed/configuration.h"

#include "libbase/limitedjson.h"
#include "primroseworks/config.h"
#include "primroseworks/ownership.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

namespace primroseworks {

namespace {

using Json = nlohmann::json;

constexpr Milliseconds FollowInterval{100};
// A stop waits for the watch in progress.
constexpr Milliseconds WatchWait{2000};
constexpr Milliseconds WatchRetry{1000};
constexpr std::size_t HistoryRows = 50;

// Changed keys shown to the operator who lost a race.
constexpr std::size_t MaxShownChanges = 10;

long long wallMillis() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

Result<std::unique_ptr<Configuration>>
Configuration::create(DaemonContext &Context, KvStore &Store, Mesh &Others,
                      DispatchGate &Gate) {
  std::unique_ptr<Configuration> Made(new Configuration(Context, Others, Gate));
  DistributionOptions Options;
  Options.m_seed = Context.m_processId;
  BOOST_OUTCOME_TRY(Distribution,
                    createConfigDistribution(Options, Store, Others.peers()));
  Made->m_distribution = std::move(Distribution);
  Made->m_distribution->setListener(
      [Self = Made.get()](const std::shared_ptr<const ConfigVersion> &Next) {
        Self->adopt(*Next);
      });
  return Made;
}

Configuration::~Configuration() { stop(); }

void Configuration::start() {
  m_follower = std::thread([this] { follow(); });
  m_watcher = std::thread([this] { watch(); });
}

void Configuration::stop() {
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
  if (m_follower.joinable())
    m_follower.join();
  if (m_watcher.joinable())
    m_watcher.join();
}

bool Configuration::pause(Duration Time) {
  std::unique_lock<std::mutex> Lock(m_mutex);
  return !m_wake.wait_for(Lock, Time, [this] { return m_stopping; });
}

void Configuration::adopt(const ConfigVersion &Version) {
  auto Built = config::buildCatalog(Version.m_document, Version.m_revision);
  if (!Built) {
    spdlog::error("event=configuration_rejected revision={} error=\"{}\"",
                  Version.m_revision, Built.error().m_message);
    return;
  }
  auto Next = std::make_shared<const Catalog>(std::move(Built.value()));
  if (!m_context.m_catalog.set(Next))
    return;
  m_gate.with([&](Dispatcher &D, TimePoint Now) { D.setCatalog(Next, Now); });
  spdlog::info("event=configuration revision={} hash={}", Version.m_revision,
               Version.m_hash);
}

void Configuration::follow() {
  do {
    m_distribution->poll(std::chrono::steady_clock::now());
    auto [Revision, Peer] = m_mesh.revisionHint();
    if (Revision > m_distribution->revision())
      m_distribution->onHint(Peer, Revision);
  } while (pause(FollowInterval));
}

void Configuration::watch() {
  // One daemon of a region waits for changes, because a waiting watch counts
  // as a call; the others hear of them by gossip and by their own polls.
  while (pause(WatchRetry))
    while (m_mesh.isWatcher() && m_distribution->watch(WatchWait))
      if (!pause(Milliseconds(1)))
        return;
}

std::vector<OperatorRoute> Configuration::routes() {
  return {
      {"GET", "/config",
       [this](const HttpRequest &, HttpResponse &Res) { show(Res); }},
      {"POST", "/config",
       [this](const HttpRequest &Req, HttpResponse &Res) { apply(Req, Res); }},
      {"GET", "/config/history",
       [this](const HttpRequest &, HttpResponse &Res) { history(Res); }}};
}

void Configuration::show(HttpResponse &Res) {
  auto Current = m_distribution->current();
  Json Out = {{"accepted", Current ? Current->m_revision : 0},
              {"hash", Current ? Current->m_hash : ""},
              {"document", Json::object()}};
  if (Current)
    Out["document"] = Json::parse(Current->m_document, nullptr, false);
  Res.m_body = Out.dump();
}

void Configuration::apply(const HttpRequest &Req, HttpResponse &Res) {
  Json Body = pvt::parseLimited(Req.m_body);
  bool Ok = Body.is_object() && Body.contains("document") &&
            Body["document"].is_object() && Body.contains("expected") &&
            Body["expected"].is_number_unsigned();
  if (!Ok) {
    answerError(400,
                makeError(ErrorKind::InvalidArgument,
                          "expected {\"expected\": REVISION, \"document\": "
                          "{...}}; use primrosectl config apply"),
                Res);
    return;
  }
  const std::string Document = Body["document"].dump();
  const auto Expected = Body["expected"].get<std::uint64_t>();
  auto Built = config::buildCatalog(Document, Expected + 1);
  if (!Built) {
    answerError(422, Built.error(), Res);
    return;
  }
  auto Submitted = m_distribution->submit(Document, m_context.m_settings.m_name,
                                          Expected, wallMillis());
  if (!Submitted) {
    int Status =
        Submitted.error().m_kind == ErrorKind::InvalidArgument ? 422 : 503;
    answerError(Status, Submitted.error(), Res);
    return;
  }
  if (Submitted.value().m_conflict) {
    conflict(Expected, *Submitted.value().m_conflict, Res);
    return;
  }
  spdlog::info("event=configuration_accepted revision={}",
               *Submitted.value().m_accepted);
  Res.m_body = Json{{"revision", *Submitted.value().m_accepted}}.dump();
}

void Configuration::conflict(std::uint64_t Expected,
                             const ConfigConflict &Conflict,
                             HttpResponse &Res) {
  const ConfigVersion &Theirs = Conflict.m_theirs;
  std::string Base = "{}";
  auto Versions = m_distribution->history(HistoryRows);
  if (Versions)
    for (const ConfigVersion &Each : Versions.value())
      if (Each.m_revision == Expected)
        Base = Each.m_document;
  std::string Shown;
  auto Changes = config::diff(Base, Theirs.m_document);
  if (Changes)
    for (std::size_t I = 0; I < Changes.value().size() && I < MaxShownChanges;
         ++I)
      Shown +=
          fmt::format("\n  {}: {} -> {}", Changes.value()[I].m_key,
                      Changes.value()[I].m_before, Changes.value()[I].m_after);
  answerError(409,
              makeError(ErrorKind::Conflict,
                        fmt::format("revision {} was accepted first, through "
                                    "{}; merge its changes and apply again:{}",
                                    Theirs.m_revision, Theirs.m_author, Shown)),
              Res);
}

void Configuration::history(HttpResponse &Res) {
  auto Versions = m_distribution->history(HistoryRows);
  if (!Versions) {
    answerError(503, Versions.error(), Res);
    return;
  }
  Json Out = Json::array();
  for (const ConfigVersion &Each : Versions.value())
    Out.push_back({{"revision", Each.m_revision},
                   {"hash", Each.m_hash},
                   {"daemon", Each.m_author},
                   {"wall_ms", Each.m_wallMillis}});
  Res.m_body = Out.dump();
}

} // namespace primroseworks
