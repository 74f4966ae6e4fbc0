// Blocking HTTP/1.1 over loopback for the stand-ins and clients of the cases:
// one thread a connection.
#ifndef PRIMROSEWORKS_REVIEW_LIB2_NET_H
#define PRIMROSEWORKS_REVIEW_LIB2_NET_H

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

struct Message {
  std::string m_start; ///< Request line or status line, without its line end.
  std::map<std::string, std::string> m_headers; ///< Names in lower case.
  std::string m_body;

  std::string header(const std::string &LowerName) const;
  std::string method() const;
  std::string target() const;                       ///< With the query.
  std::string path() const;                         ///< Without the query.
  std::string query(const std::string &Name) const; ///< Decoded; or empty.
  int status() const; ///< Of a response; 0 if there is none.
};

/// How reading a message ended.
enum class ReadEnd { Complete, Closed, Truncated, TimedOut };

/// One TCP connection.
class Socket {
public:
  explicit Socket(int Fd) : m_fd(Fd) {}
  ~Socket();
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;

  /// Null if nothing listens there.
  static std::shared_ptr<Socket> connectTo(const std::string &Address);
  bool write(const std::string &Bytes);
  /// Reads one message with a length, chunks or, for responses, an end by
  /// closing. What arrived of it is kept in Out.
  ReadEnd read(Message &Out, bool IsResponse, int TimeoutMs = 60'000);
  /// Ends both directions; threads that read or write return.
  void shutdown();
  /// Closes with a reset instead of an orderly end.
  void reset();

private:
  bool fill(int TimeoutMs);
  int m_fd;
  std::string m_input;
  bool m_timedOut = false;
};

using SocketPtr = std::shared_ptr<Socket>;

/// Handles one request; returns false to close the connection.
using Handler = std::function<bool(const SocketPtr &, const Message &)>;

/// Accepts connections and calls the handler for each request on them.
class Server {
public:
  Server(const std::string &Ip, int Port, Handler OnRequest);
  ~Server() { stop(); }
  const std::string &address() const { return m_address; }
  /// Stops listening and ends all connections, with resets.
  void stop();

private:
  void accept();
  void serve(SocketPtr S);
  Handler m_onRequest;
  std::string m_address;
  int m_fd = -1;
  std::thread m_thread;
  std::mutex m_mutex;
  std::set<SocketPtr> m_sockets;
  std::atomic<int> m_serving{0};
  std::atomic<bool> m_stopped{false};
};

/// A response with a body and its length.
std::string response(int Status, const std::string &Headers,
                     const std::string &Body);

} // namespace review

#endif
