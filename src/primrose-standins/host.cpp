// Kill and restart of a stand-in endpoint, and faults common to all of them.
#include "primrose-standins/host.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace primroseworks::standins {
namespace {

/// Longest time that a silent answer holds its thread.
constexpr Seconds MaxSilence{30};
constexpr Milliseconds SilenceStep{20};

/// Longest wait for a killed server's port to close.
constexpr Seconds MaxClosing{2};

/// A leaving endpoint may get work for this long after the notice.
constexpr Seconds LeaveNotice{3};

/// Whether something listens on the port.
bool listens(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const bool Connected =
      ::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                sizeof Address) == 0;
  ::close(Socket);
  return Connected;
}

} // namespace

void answer(HttpResponse &Response, int Status, const nlohmann::json &Body) {
  Response.m_status = Status;
  Response.m_body =
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void cut(HttpResponse &Response) {
  Response.m_stream = [](HttpStream &) { return false; };
}

void keepSilent(const std::atomic<bool> &End, HttpResponse &Response) {
  const TimePoint Limit = std::chrono::steady_clock::now() + MaxSilence;
  while (!End && std::chrono::steady_clock::now() < Limit)
    std::this_thread::sleep_for(SilenceStep);
  cut(Response);
}

void refuse(HttpResponse &Response, int Status, const std::string &Why) {
  answer(Response, Status, {{"error", Why}, {"not_run", true}});
}

void Faults::set(const nlohmann::json &Values) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  for (const auto &[Name, Value] : Values.items()) {
    if (Name == "crash_marker")
      m_marker = Value.get<std::string>();
    else if (Value.is_boolean())
      m_values[Name] = Value.get<bool>() ? 1 : 0;
    else
      m_values[Name] = Value.get<double>();
  }
}

double Faults::value(const std::string &Name) const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  const auto Found = m_values.find(Name);
  return Found == m_values.end() ? 0 : Found->second;
}

bool Faults::use(const std::string &Name) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  const auto Found = m_values.find(Name);
  if (Found == m_values.end() || Found->second < 1)
    return false;
  Found->second -= 1;
  return true;
}

std::string Faults::marker() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  return m_marker;
}

nlohmann::json Faults::all() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  nlohmann::json Out = m_values;
  Out["crash_marker"] = m_marker;
  return Out;
}

Result<void> Host::start() {
  std::lock_guard<std::mutex> Lock(m_mutex);
  if (m_server)
    return boost::outcome_v2::success();
  std::shared_ptr<Program> Next = m_make(m_restarted);
  HttpServerOptions Options;
  Options.m_port = m_port;
  Options.m_maxBodyBytes = 8U << 20U;
  Options.m_onOverload = [](const HttpRequest &, HttpResponse &Response) {
    refuse(Response, 503, "too many connections");
  };
  BOOST_OUTCOME_TRY(
      Server, createHttpServer(Options, [this, Next](const HttpRequest &Request,
                                                     HttpResponse &Response) {
        handle(Next, Request, Response);
      }));
  m_port = Server->port();
  m_server = std::move(Server);
  m_program = std::move(Next);
  m_restarted = true;
  m_workUntil = TimePoint::max();
  return boost::outcome_v2::success();
}

void Host::kill() {
  std::lock_guard<std::mutex> Lock(m_mutex);
  if (m_program)
    m_program->die();
  m_program.reset();
  if (!m_server)
    return;
  m_closing.emplace_back([Server = std::shared_ptr<HttpServer>(
                              std::move(m_server))] { Server->stop(); });
  // The server closes its port first and then waits for its connections.
  const TimePoint End = std::chrono::steady_clock::now() + MaxClosing;
  while (listens(m_port) && std::chrono::steady_clock::now() < End)
    std::this_thread::sleep_for(Milliseconds(1));
}

Host::~Host() {
  kill();
  for (std::thread &Each : m_closing)
    Each.join();
}

bool Host::running() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  return m_server != nullptr;
}

void Host::leave(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_workUntil = Now + LeaveNotice;
}

void Host::tick(TimePoint Now) {
  std::shared_ptr<Program> Running;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    Running = m_program;
  }
  if (!Running)
    return;
  Running->tick(Now);
  if (Running->dead())
    kill(); // It crashed by itself.
}

void Host::handle(const std::shared_ptr<Program> &Running,
                  const HttpRequest &Request, HttpResponse &Response) {
  if (m_faults.use("silent_next")) {
    keepSilent(Running->dead(), Response);
    return;
  }
  if (m_faults.use("refuse_next")) {
    refuse(Response, 503, "refused by a fault");
    return;
  }
  if (Running->isWork(Request)) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (std::chrono::steady_clock::now() > m_workUntil)
      m_book.flag("work_after_leave", m_name);
  }
  const bool LoseAnswer = m_faults.use("lose_answers");
  if (!Running->dead())
    Running->handle(Request, Response);
  if (LoseAnswer || Running->dead())
    cut(Response);
}

} // namespace primroseworks::standins
