// The status endpoints of a gateway: readiness and metrics.
#include "libgateway/gateway.h"
#include "libgateway/log.h"
#include "libgateway/suspectspage.h"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <sys/resource.h>

namespace primroseworks::gateway {

Result<void> Gateway::openStatusListener(const std::string &Address,
                                         bool Metrics) {
  Result<asio::ip::tcp::endpoint> ListenAddress = parseAddress(Address);
  if (!ListenAddress)
    return ListenAddress.error();
  auto Acceptor = std::make_shared<asio::ip::tcp::acceptor>(m_io);
  std::error_code Ec;
  Acceptor->open(ListenAddress.value().protocol(), Ec);
  if (!Ec)
    Acceptor->set_option(asio::ip::tcp::acceptor::reuse_address(true), Ec);
  if (!Ec)
    Acceptor->bind(ListenAddress.value(), Ec);
  if (!Ec)
    Acceptor->listen(asio::socket_base::max_listen_connections, Ec);
  if (Ec)
    return makeError(ErrorKind::Unavailable,
                     "cannot listen at " + Address + ": " + Ec.message() +
                         "; stop the process that uses this port or change the "
                         "settings under listen");
  startLoop("status", [this, Acceptor, Metrics] {
    return acceptStatusConnections(Acceptor, Metrics);
  });
  return boost::outcome_v2::success();
}

asio::awaitable<void> Gateway::acceptStatusConnections(
    std::shared_ptr<asio::ip::tcp::acceptor> Acceptor, bool Metrics) {
  for (;;) {
    std::error_code Ec;
    auto Socket =
        std::make_shared<asio::ip::tcp::socket>(co_await Acceptor->async_accept(
            asio::redirect_error(asio::use_awaitable, Ec)));
    if (Ec) {
      co_await sleep(Milliseconds(20));
      continue;
    }
    prepareSocket(*Socket, CallerUnresponsiveTimeout);
    spawnTask(m_io, *m_core.m_metrics, "status_connection",
              [this, Socket, Metrics] {
                return serveStatusConnection(Socket, Metrics);
              });
  }
}

/// The metrics, and the requests that are suspected of ending endpoints.
std::string Gateway::operatorPage(const HttpHead &Head, unsigned &Status) {
  Status = 200;
  const std::string Path(Head.path());
  if (Path.rfind(SuspectsPath, 0) != 0) {
    rusage Usage{};
    if (getrusage(RUSAGE_SELF, &Usage) == 0)
      m_core.m_metrics->gauge("peak_resident_bytes",
                              1024.0 * static_cast<double>(Usage.ru_maxrss));
    return m_core.m_metrics->text();
  }
  const SuspectsReply Reply =
      answerSuspects(Head.m_method, Path, m_core.m_suspects, clockNow());
  Status = Reply.m_status;
  if (Reply.m_cleared)
    decisionlog::line(LogClass::Lifecycle, "suspect_cleared")
        .hex("fingerprint", *Reply.m_cleared);
  if (Reply.m_clearedPart)
    decisionlog::line(LogClass::Lifecycle, "part_cleared")
        .hex("part", *Reply.m_clearedPart)
        .text("by", "operator");
  if (Reply.m_cleared || Reply.m_clearedPart)
    m_peers.sendStrikes(clockNow());
  return Reply.m_body;
}

std::string Gateway::statusBody(bool Metrics, const HttpHead &Head,
                                unsigned &Status) {
  if (Metrics)
    return operatorPage(Head, Status);
  if (Head.path() != m_core.m_dialect.readyPath()) {
    Status = 404;
    return "no such page\n";
  }
  Status = isReady() ? 200 : 503;
  return isReady() ? "ready\n" : "not ready\n";
}

asio::awaitable<void>
Gateway::serveStatusConnection(std::shared_ptr<asio::ip::tcp::socket> Socket,
                               bool Metrics) {
  constexpr std::size_t HeadLimit = 8192;
  HttpReader Reader(HttpRole::Request, HeadLimit);
  std::string Input;
  for (;;) {
    while (!Reader.complete()) {
      char Buffer[1024];
      std::error_code Ec;
      const std::size_t N = co_await Socket->async_read_some(
          asio::buffer(Buffer), asio::redirect_error(asio::use_awaitable, Ec));
      if (Ec)
        co_return;
      Input.append(Buffer, N);
      while (!Input.empty() && !Reader.complete()) {
        const Result<std::size_t> Used = Reader.read(Input);
        // Requests for these pages have no body.
        if (!Used || !Reader.takeBody().empty())
          co_return;
        Input.erase(0, Used.value());
        if (Used.value() == 0)
          break;
      }
    }
    unsigned Status = 200;
    const std::string Body = statusBody(Metrics, Reader.head(), Status);
    const bool KeepAlive = Reader.head().m_keepAlive;
    const std::string Out =
        statusLine(Status) + "Content-Type: text/plain\r\nContent-Length: " +
        std::to_string(Body.size()) + "\r\n" +
        (KeepAlive ? "" : "Connection: close\r\n") + "\r\n" + Body;
    std::error_code Ec;
    co_await asio::async_write(*Socket, asio::buffer(Out),
                               asio::redirect_error(asio::use_awaitable, Ec));
    if (Ec || !KeepAlive)
      co_return;
    Reader.reset();
  }
}

} // namespace primroseworks::gateway
