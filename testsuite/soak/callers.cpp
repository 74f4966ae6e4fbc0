// Requests of the soak and their answers.
#include "callers.h"

#include "libgateway/connections.h"
#include "platform/enginestandin_fake.h"
#include "platform/wirenames.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

namespace primroseworks::soak {

namespace {

using namespace platform::testing;

/// Time that a caller waits; its deadline is shorter.
constexpr std::chrono::milliseconds Patience{7000};
constexpr int DeadlineMs = 5000;
/// A request that crosses the end of its connection within this time, and has
/// not run, was never read.
constexpr std::chrono::milliseconds CrossingTime{200};
/// Part of the idle time that callers use.
constexpr double IdleShare = 0.8;
/// Shortest idle time of a configuration. A gateway that can't reach the store
/// may still apply it.
constexpr std::chrono::milliseconds MinIdleTimeout{500};

const char *pathOf(Work W) {
  switch (W) {
  case Work::Once:
    return "/once/1";
  case Work::Read:
    return "/read/1";
  case Work::Stream:
    return "/stream/1";
  case Work::OneStream:
    return "/single/1";
  }
  return "";
}

/// The events of a whole stream.
std::string wholeStream() {
  std::string Out;
  for (int I = 1; I <= EngineStandin::EventsPerStream; ++I)
    Out += "id: " + std::to_string(I) + "\ndata: part\n\n";
  return Out;
}

} // namespace

void Callers::start(unsigned Count) {
  for (unsigned I = 0; I < Count; ++I)
    asio::co_spawn(
        m_io, [this] { return run(); }, asio::detached);
}

asio::awaitable<void> Callers::run() {
  ++m_active;
  Connection C(m_io);
  const bool Idles = m_random() % 4 == 0;
  while (!m_stopped) {
    const Work W = static_cast<Work>(m_random() % 4);
    std::string Artifact;
    if (W == Work::Stream || W == Work::OneStream) {
      Artifact = 'm' + std::to_string(1 + m_random() % 3);
      if (m_random() % 3 == 0)
        Artifact += "/a" + std::to_string(1 + m_random() % 3);
    }
    const std::string Id = "q" + std::to_string(++m_next);
    if (!C.m_socket.is_open())
      C.m_gateway = m_gateways[m_random() % m_gateways.size()].get();
    m_check.onSent(Id, W);
    const Verdict V = co_await attempt(C, Id, W, Artifact);
    m_check.onVerdict(Id, V);
    co_await rest(C, Idles);
  }
  --m_active;
}

asio::awaitable<void> Callers::rest(Connection &C, bool Idles) {
  C.m_idleSince = Clock::now();
  std::chrono::milliseconds Time(10 + m_random() % 60);
  if (Idles && C.m_socket.is_open() && !m_stopped)
    Time += std::chrono::milliseconds(
        m_random() %
        static_cast<unsigned>(IdleShare *
                              static_cast<double>(m_idleTimeout.count())));
  asio::steady_timer Pause(m_io, Time);
  std::error_code Ignored;
  co_await Pause.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
  if (Clock::now() - C.m_idleSince > m_idleTimeout * IdleShare)
    C.m_socket.close(Ignored);
}

bool Callers::mustBeRead(const Connection &C) const {
  const auto IdleTimeout = m_calm ? m_idleTimeout : MinIdleTimeout;
  return C.m_gateway->serving() &&
         C.m_gateway->m_interruptions == C.m_interruptions &&
         Clock::now() - C.m_idleSince <= IdleTimeout * IdleShare;
}

asio::awaitable<Verdict> Callers::attempt(Connection &C, std::string Id, Work W,
                                          std::string Artifact) {
  Socket &S = C.m_socket;
  const std::string Address = C.m_gateway->callerAddress();
  m_notices.onSent(Id, C.m_gateway->name());
  std::error_code Ec;
  const bool Kept = S.is_open();
  asio::steady_timer Limit(m_io, Patience);
  bool TimedOut = false;
  Limit.async_wait([&S, &TimedOut](std::error_code E) {
    if (E)
      return;
    TimedOut = true;
    std::error_code Ignored;
    S.close(Ignored);
  });
  if (!Kept) {
    co_await S.async_connect(gateway::parseAddress(Address).value(),
                             asio::redirect_error(asio::use_awaitable, Ec));
    if (Ec) {
      S.close(Ec);
      co_return Verdict::NotSent;
    }
    C.m_interruptions = C.m_gateway->m_interruptions;
    C.m_idleSince = Clock::now();
  }
  const bool MustBeRead = mustBeRead(C);
  const std::string Bytes = soakRequest(pathOf(W), Id, Artifact, DeadlineMs);
  const Clock::time_point Sent = Clock::now();
  const bool Calm = m_calm;
  co_await asio::async_write(S, asio::buffer(Bytes),
                             asio::redirect_error(asio::use_awaitable, Ec));
  gateway::HttpReader Reader(gateway::HttpRole::Response, 65536);
  std::string Input;
  std::string Body;
  bool PassedOn = false;
  while (!Ec && !Reader.complete()) {
    char Buffer[4096];
    const std::size_t N = co_await S.async_read_some(
        asio::buffer(Buffer), asio::redirect_error(asio::use_awaitable, Ec));
    Input.append(Buffer, N);
    while (!Input.empty() && !Reader.complete()) {
      const auto Used = Reader.read(Input);
      if (!Used) {
        m_check.violation(Id + " got bytes that are no answer");
        Ec = asio::error::invalid_argument;
        break;
      }
      Input.erase(0, Used.value());
      Body += Reader.takeBody();
      if (!PassedOn && Reader.headComplete()) {
        PassedOn = true;
        if (Reader.head().m_status == 200)
          m_notices.onPassedOn(Id);
      }
      if (Used.value() == 0)
        break;
    }
  }
  Limit.cancel();
  if (!Reader.complete()) {
    const bool Unread = !m_check.hasRun(Id) &&
                        Clock::now() - Sent < CrossingTime && !Reader.started();
    const bool InTime =
        Clock::now() - Sent < std::chrono::milliseconds(DeadlineMs);
    if (Calm && m_calm && !TimedOut && !Unread && InTime)
      m_check.violation(Id + " was cut at " + Address + " without a fault");
    if (Unread && MustBeRead &&
        C.m_interruptions == C.m_gateway->m_interruptions)
      m_check.violation(Id + " was not read at " + Address +
                        ", within the idle time and without an answer");
    const bool Events = W == Work::Stream || W == Work::OneStream;
    if (Events && Reader.headComplete() && Reader.head().m_status == 200 &&
        wholeStream().compare(0, Body.size(), Body) != 0)
      m_check.violation(Id + " got bytes in its stream that are no part of it");
    S.close(Ec);
    co_return TimedOut ? Verdict::TimedOut : Verdict::Cut;
  }
  if (!Input.empty())
    m_check.violation(Id + " got bytes behind its answer");
  const gateway::HttpHead &Head = Reader.head();
  if (!Head.m_keepAlive)
    S.close(Ec);
  const std::string *Seal = Head.find(platform::wire::ResponseSeal);
  if (Head.m_status == 200) {
    if (!Seal || *Seal != "s-" + Id)
      m_check.violation(Id + " got the answer of " +
                        (Seal ? *Seal : std::string("nobody")));
    const bool Events = W == Work::Stream || W == Work::OneStream;
    if (Body != (Events ? wholeStream() : "whole answer " + Id))
      m_check.violation(Id + " got a success that is not whole");
    co_return Verdict::Success;
  }
  if (Body.find("crashes_endpoints") != std::string::npos)
    m_check.violation(Id + " was refused as a crash suspect");
  if (Head.m_status == 429 || Head.m_status == 503 || Head.m_status == 408)
    co_return Verdict::NotRun;
  if (Head.m_status >= 300 && Head.m_status < 500)
    m_check.violation(Id + " was denied with " + std::to_string(Head.m_status));
  co_return Verdict::Failure;
}

asio::awaitable<unsigned> Callers::probe(std::string Address, std::string Path,
                                         char Prefix, std::string Artifact,
                                         std::string PromptPart) {
  const std::string Id = Prefix + std::to_string(++m_next);
  m_check.onSent(Id, Work::Read);
  gateway::ConnectionPool Pool(m_io);
  const std::string Request =
      soakRequest(Path, Id, Artifact, DeadlineMs, PromptPart);
  Result<gateway::HttpClientResponse> Answer = co_await gateway::callHttp(
      m_io, Pool, "probe", Address, Request, Patience);
  co_return Answer ? Answer.value().m_head.m_status : 0;
}

} // namespace primroseworks::soak
