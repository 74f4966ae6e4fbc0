// Blocking HTTP/1.1 over loopback.
#include "net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace review {

namespace {

std::string lower(std::string Text) {
  for (char &C : Text)
    C = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  return Text;
}

std::string decoded(const std::string &Text) {
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Out += static_cast<char>(std::stoi(Text.substr(I + 1, 2), nullptr, 16));
      I += 2;
    } else {
      Out += Text[I];
    }
  }
  return Out;
}

sockaddr_in socketAddress(const std::string &Ip, int Port) {
  sockaddr_in A{};
  A.sin_family = AF_INET;
  A.sin_port = htons(static_cast<unsigned short>(Port));
  inet_pton(AF_INET, Ip.c_str(), &A.sin_addr);
  return A;
}

} // namespace

std::string Message::header(const std::string &LowerName) const {
  const auto It = m_headers.find(LowerName);
  return It == m_headers.end() ? std::string() : It->second;
}

std::string Message::method() const {
  return m_start.substr(0, m_start.find(' '));
}

std::string Message::target() const {
  const std::size_t First = m_start.find(' ');
  return m_start.substr(First + 1, m_start.rfind(' ') - First - 1);
}

std::string Message::path() const {
  const std::string Target = target();
  return Target.substr(0, Target.find('?'));
}

std::string Message::query(const std::string &Name) const {
  const std::string Target = target();
  std::size_t At = Target.find('?');
  while (At != std::string::npos) {
    const std::size_t End = Target.find('&', ++At);
    const std::string Part = Target.substr(At, End - At);
    if (Part.rfind(Name + "=", 0) == 0)
      return decoded(Part.substr(Name.size() + 1));
    At = End;
  }
  return {};
}

int Message::status() const {
  return m_start.rfind("HTTP/", 0) == 0 && m_start.size() > 12
             ? std::atoi(m_start.c_str() + 9)
             : 0;
}

Socket::~Socket() { ::close(m_fd); }

std::shared_ptr<Socket> Socket::connectTo(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  const sockaddr_in A =
      socketAddress(Address.substr(0, Colon), std::atoi(&Address[Colon + 1]));
  const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto Out = std::make_shared<Socket>(Fd);
  if (::connect(Fd, reinterpret_cast<const sockaddr *>(&A), sizeof(A)) != 0)
    return nullptr;
  const int One = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  return Out;
}

bool Socket::write(const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t N =
        ::send(m_fd, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (N <= 0)
      return false;
    Sent += static_cast<std::size_t>(N);
  }
  return true;
}

bool Socket::fill(int TimeoutMs) {
  pollfd P{m_fd, POLLIN, 0};
  if (::poll(&P, 1, std::max(0, TimeoutMs)) == 0) {
    m_timedOut = true;
    return false;
  }
  char Buffer[16384];
  const ssize_t N = ::recv(m_fd, Buffer, sizeof(Buffer), 0);
  if (N <= 0)
    return false;
  m_input.append(Buffer, static_cast<std::size_t>(N));
  return true;
}

ReadEnd Socket::read(Message &Out, bool IsResponse, int TimeoutMs) {
  Out = Message();
  m_timedOut = false;
  const auto End =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(TimeoutMs);
  const auto More = [&] {
    return fill(
        static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(
                             End - std::chrono::steady_clock::now())
                             .count()));
  };
  const auto Ended = [&] {
    return m_timedOut ? ReadEnd::TimedOut : ReadEnd::Truncated;
  };
  std::size_t HeadEnd;
  while ((HeadEnd = m_input.find("\r\n\r\n")) == std::string::npos)
    if (!More())
      return m_input.empty() && !m_timedOut ? ReadEnd::Closed : Ended();
  std::string Head = m_input.substr(0, HeadEnd + 2);
  m_input.erase(0, HeadEnd + 4);
  Out.m_start = Head.substr(0, Head.find("\r\n"));
  for (std::size_t At = Head.find("\r\n") + 2; At < Head.size();) {
    const std::size_t Line = Head.find("\r\n", At);
    const std::size_t Colon = Head.find(':', At);
    std::size_t Value = Colon + 1;
    while (Value < Line && Head[Value] == ' ')
      ++Value;
    Out.m_headers[lower(Head.substr(At, Colon - At))] =
        Head.substr(Value, Line - Value);
    At = Line + 2;
  }
  if (lower(Out.header("transfer-encoding")) == "chunked") {
    for (;;) {
      std::size_t Line;
      while ((Line = m_input.find("\r\n")) == std::string::npos)
        if (!More())
          return Ended();
      const std::size_t Size = std::stoul(m_input.substr(0, Line), nullptr, 16);
      while (m_input.size() < Line + 2 + Size + 2) {
        if (!More()) {
          Out.m_body += m_input.substr(Line + 2, Size);
          return Ended();
        }
      }
      Out.m_body += m_input.substr(Line + 2, Size);
      m_input.erase(0, Line + 2 + Size + 2);
      if (Size == 0)
        return ReadEnd::Complete;
    }
  }
  const std::string Length = Out.header("content-length");
  if (Length.empty() && IsResponse) {
    while (More()) {
    }
    Out.m_body.swap(m_input);
    return m_timedOut ? ReadEnd::TimedOut : ReadEnd::Complete;
  }
  const std::size_t Size = Length.empty() ? 0 : std::stoul(Length);
  while (m_input.size() < Size)
    if (!More()) {
      Out.m_body.swap(m_input);
      return Ended();
    }
  Out.m_body = m_input.substr(0, Size);
  m_input.erase(0, Size);
  return ReadEnd::Complete;
}

void Socket::shutdown() { ::shutdown(m_fd, SHUT_RDWR); }

void Socket::reset() {
  const linger Now{1, 0};
  setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
  ::shutdown(m_fd, SHUT_RD);
}

Server::Server(const std::string &Ip, int Port, Handler OnRequest)
    : m_onRequest(std::move(OnRequest)) {
  m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int One = 1;
  setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in A = socketAddress(Ip, Port);
  if (::bind(m_fd, reinterpret_cast<const sockaddr *>(&A), sizeof(A)) != 0 ||
      ::listen(m_fd, 128) != 0)
    throw std::runtime_error("cannot listen at " + Ip + ": " +
                             std::strerror(errno));
  socklen_t Size = sizeof(A);
  getsockname(m_fd, reinterpret_cast<sockaddr *>(&A), &Size);
  m_address = Ip + ":" + std::to_string(ntohs(A.sin_port));
  m_thread = std::thread([this] { accept(); });
}

void Server::accept() {
  for (;;) {
    const int Fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
    if (Fd < 0)
      return;
    const int One = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
    auto S = std::make_shared<Socket>(Fd);
    const std::lock_guard<std::mutex> Lock(m_mutex);
    if (m_stopped)
      return;
    m_sockets.insert(S);
    ++m_serving;
    std::thread([this, S] { serve(S); }).detach();
  }
}

void Server::serve(SocketPtr S) {
  Message Request;
  while (!m_stopped && S->read(Request, false, 120'000) == ReadEnd::Complete)
    if (!m_onRequest(S, Request))
      break;
  {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    m_sockets.erase(S);
  }
  S.reset();
  --m_serving;
}

void Server::stop() {
  if (m_stopped.exchange(true))
    return;
  ::shutdown(m_fd, SHUT_RDWR);
  m_thread.join();
  ::close(m_fd);
  {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    for (const SocketPtr &S : m_sockets)
      S->reset();
  }
  while (m_serving > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
}

std::string response(int Status, const std::string &Headers,
                     const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace review
