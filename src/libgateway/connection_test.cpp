// Tests of how an outgoing connection ends: in order or by a reset, whichever
// call meets the end first.
#include "libgateway/connections.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

namespace primroseworks::gateway {
namespace {

/// How the peer ends the connection.
enum class PeerEnd { InOrder, Reset };
/// Calls on the connection between the peer's end and the reads.
enum class EarlierCall { None, Look, Send, LookAndSend, SendTwice };
/// What of the response is read before the peer ends the connection.
enum class ReadBefore { Nothing, Everything };

/// A connection whose peer has sent a response without a length.
class ConnectionEnd : public ::testing::Test {
protected:
  /// Whether the response counts as complete.
  bool completes(PeerEnd End, EarlierCall Call, ReadBefore Before) {
    bool Complete = false;
    m_io.restart();
    asio::co_spawn(m_io, run(End, Call, Before, Complete), asio::detached);
    m_io.run();
    return Complete;
  }

private:
  asio::awaitable<void> run(PeerEnd End, EarlierCall Call, ReadBefore Before,
                            bool &Complete) {
    Result<ConnectionPtr> Opened = co_await m_pool.acquire(
        "key", m_address, Milliseconds(500), Milliseconds(500));
    if (!Opened)
      co_return;
    const ConnectionPtr C = Opened.value();
    asio::ip::tcp::socket Peer = m_acceptor.accept();
    asio::write(Peer, asio::buffer(Response));
    std::string Body;
    while (Before == ReadBefore::Everything && Body.size() < BodySize) {
      if (!co_await C->readSome())
        co_return;
      Body += C->m_reader.takeBody();
    }
    endPeer(Peer, End);
    if (Call == EarlierCall::Look || Call == EarlierCall::LookAndSend)
      (void)C->look();
    if (Call != EarlierCall::None && Call != EarlierCall::Look)
      (void)co_await C->send("more of the request");
    if (Call == EarlierCall::SendTwice)
      (void)co_await C->send("more of the request");
    while (!C->m_reader.complete())
      if (!co_await C->readSome())
        break;
    Complete = C->m_reader.complete();
    C->close();
  }

  static void endPeer(asio::ip::tcp::socket &Peer, PeerEnd End) {
    if (End == PeerEnd::Reset)
      Peer.set_option(asio::socket_base::linger(true, 0));
    Peer.close();
  }

  inline static const std::string Response = "HTTP/1.1 200 OK\r\n\r\nbody";
  static constexpr std::size_t BodySize = 4;

  asio::io_context m_io{1};
  asio::ip::tcp::acceptor m_acceptor{m_io,
                                     {asio::ip::make_address("127.0.0.1"), 0}};
  const std::string m_address =
      "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  ConnectionPool m_pool{m_io};
};

constexpr EarlierCall EarlierCalls[] = {
    EarlierCall::None, EarlierCall::Look, EarlierCall::Send,
    EarlierCall::LookAndSend, EarlierCall::SendTwice};

} // namespace

// Guards against a response that was reset and looks complete (MIXED, ORDER),
// because a look or a send took the error before the read.
TEST_F(ConnectionEnd, ResetDoesNotCompleteAResponseWhicheverCallMeetsIt) {
  for (const EarlierCall Call : EarlierCalls)
    for (const ReadBefore Before :
         {ReadBefore::Nothing, ReadBefore::Everything})
      EXPECT_FALSE(completes(PeerEnd::Reset, Call, Before))
          << static_cast<int>(Call) << static_cast<int>(Before);
}

// A response is complete if the peer closed in order, also if a send after that
// fails.
TEST_F(ConnectionEnd, OrderlyCloseCompletesAResponseWhateverWasCalledBefore) {
  for (const EarlierCall Call : EarlierCalls)
    for (const ReadBefore Before :
         {ReadBefore::Nothing, ReadBefore::Everything})
      EXPECT_TRUE(completes(PeerEnd::InOrder, Call, Before))
          << static_cast<int>(Call) << static_cast<int>(Before);
}

} // namespace primroseworks::gateway
