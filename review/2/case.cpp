// An instance of a plain service answers a long upload before it has read all
// of it, without a length, and crashes in the middle of the answer. The caller
// must not get the first half as the whole.
#include "lab.h"

#include <arpa/inet.h>
#include <cstring>
#include <iostream>
#include <mutex>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

using namespace review;

namespace {

constexpr int Uploads = 20; // One of them is long and gets no length: 0.05.
constexpr int LongOne = 10;
constexpr std::size_t ShortBytes = 2000;
constexpr std::size_t LongBytes = 4'190'000; // max-body-bytes is 4,194,304.
constexpr int WindowBytes = 8192; // "small windows" (DEPLOY.md, Network).
constexpr Ms Pause{150};          // Between the halves of the answer.
constexpr Ms Down{2000};          // for_s of srv_crash in the site file.
const std::string Half(400, 'x');

std::string bodyOf(const std::string &Id) {
  return Half + "the receipt of " + Id + Half;
}

/// One instance, with an entry in the store. It reads bodies itself, so that it
/// can answer before it has read them.
class Instance {
public:
  Instance(Store &Platform, Record &Log, bool Crashes)
      : m_store(Platform), m_log(Log), m_crashes(Crashes) {}
  void start() {
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int On = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &WindowBytes,
               sizeof(WindowBytes));
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_port = htons(m_port);
    inet_pton(AF_INET, ip(101).c_str(), &At.sin_addr);
    if (bind(m_listener, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0 ||
        ::listen(m_listener, 64) != 0)
      throw std::runtime_error("cannot listen");
    socklen_t Size = sizeof(At);
    getsockname(m_listener, reinterpret_cast<sockaddr *>(&At), &Size);
    m_port = ntohs(At.sin_port);
    ++m_born;
    m_up = true;
    std::thread([this, Listener = m_listener] { accept(Listener); }).detach();
    write();
  }
  void write() {
    if (!m_up)
      return;
    const Json Entry = {{"service", "plain"},
                        {"address", ip(101) + ':' + std::to_string(m_port)},
                        {"zone", "tunis-a"},
                        {"version", 1},
                        {"slots", 6},
                        {"state", "ready"},
                        {"cold-remaining-ms", 0},
                        {"sequence", ++m_beats},
                        {"born", m_born}};
    m_store.put("servers/i-1", Entry.dump());
  }

private:
  void accept(int Listener) {
    for (;;) {
      const int Fd = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd < 0)
        return;
      auto S = std::make_shared<Socket>(Fd);
      {
        const std::lock_guard<std::mutex> Lock(m_mutex);
        m_open.insert(S);
      }
      std::thread([this, S] {
        while (serve(*S)) {
        }
        S->shutDown();
        const std::lock_guard<std::mutex> Lock(m_mutex);
        m_open.erase(S);
      }).detach();
    }
  }
  /// Ends as a crash does: connections are reset, the address refuses new ones.
  void crash() {
    m_up = false;
    ::shutdown(m_listener, SHUT_RDWR);
    ::close(m_listener);
    const std::lock_guard<std::mutex> Lock(m_mutex);
    for (const SocketPtr &S : m_open)
      S->reset();
  }
  bool serve(Socket &S) {
    std::size_t End = 0;
    while ((End = S.m_input.find("\r\n\r\n")) == std::string::npos)
      if (!S.receive(Clock::now() + std::chrono::hours(1)))
        return false;
    const std::string Head = S.m_input.substr(0, End + 2);
    S.m_input.erase(0, End + 4);
    const auto Value = [&Head](const std::string &Name) {
      const std::size_t At = Head.find("\r\n" + Name + ": ") + 4 + Name.size();
      return Head.substr(At, Head.find("\r\n", At) - At);
    };
    const std::string Id = Value("X-Primroseworks-Request-Id");
    const std::size_t Size = std::stoul(Value("Content-Length"));
    Headers H = Engine::answerHeaders(Id);
    m_log.line("run       " + Id + ", a body of " + std::to_string(Size));
    const bool Early = Size > ShortBytes;
    const std::string Body = bodyOf(Id);
    if (Early) { // Half of the answer, which has no length, goes first.
      S.send(openResponse(200, H) + Body.substr(0, Half.size()));
      sleepFor(Pause);
      if (m_crashes) {
        m_log.line("the instance crashes, after half of its answer");
        crash();
        std::thread([this] {
          sleepFor(Down);
          start();
        }).detach();
        return false;
      }
    }
    while (S.m_input.size() < Size)
      if (!S.receive(Clock::now() + std::chrono::seconds(20)))
        return false;
    S.m_input.erase(0, Size);
    if (!Early)
      return S.send(response(200, H, Body));
    S.send(Body.substr(Half.size()));
    return false; // The connection ends the answer.
  }

  Store &m_store;
  Record &m_log;
  const bool m_crashes;
  int m_listener = -1;
  std::uint16_t m_port = 0;
  std::int64_t m_born = 1796540000000;
  std::uint64_t m_beats = 0;
  std::atomic<bool> m_up{false};
  std::mutex m_mutex;
  std::set<SocketPtr> m_open;
};

} // namespace

int main(int Count, char **Arguments) {
  const bool Trouble = playsDisruption(Count, Arguments);
  Record Log(Arguments[1]);
  Store Platform;
  Platform.listen(ip(200));
  Platform.put("op/config", configuration(1).dump());
  Instance One(Platform, Log, Trouble);
  One.start();
  std::thread([&One] {
    for (;;) {
      sleepFor(Ms(1200));
      One.write();
    }
  }).detach();
  Gateway Front({"front-tunis-a-1", ip(1), "tunis-a", Platform.address()});
  Front.start();
  if (!Front.awaitReady(Ms(5000))) {
    Log.line("the gateway is not ready: the case cannot run");
    finish(2, {&Front});
  }
  sleepFor(Ms(4500)); // The machine is in touch.
  int Whole = 0;
  int Failed = 0;
  int Broken = 0;
  for (int I = 1; I <= Uploads; ++I) {
    Request R;
    R.m_path = "/unsafe/upload";
    R.m_body = std::string(I == LongOne ? LongBytes : ShortBytes, 'b');
    const std::string Id = newId();
    Log.line("sent      " + Id + ", a body of " +
             std::to_string(R.m_body.size()));
    const Message M = send(Front.address(), R, Id).m_message;
    Log.line("answered  " + Id + ", status " + std::to_string(M.status()) +
             (M.has("X-Primroseworks-Response-Seal") ? " with" : " without") +
             " the seal, " + std::to_string(M.m_body.size()) + " bytes, " +
             (M.m_complete ? "complete" : "cut"));
    const bool Success = M.status() == 200 && M.m_complete;
    const bool Right = M.m_body == bodyOf(Id);
    Whole += Success && Right;
    Failed += !Success;
    if (Success && !Right) {
      ++Broken;
      Log.line("BROKEN    MIXED: " + Id + " gets " +
               std::to_string(M.m_body.size()) + " bytes of " +
               std::to_string(bodyOf(Id).size()) + " as the whole answer");
    }
    // After the crash the instance is away for 2 s.
    sleepFor(I == LongOne ? Down + Ms(1500) : Ms(50));
  }
  const std::string Sum = std::to_string(Uploads) + " uploads, " +
                          std::to_string(Whole) + " answered in full, " +
                          std::to_string(Failed) + " failed or cut, " +
                          std::to_string(Broken) + " got a part as the whole";
  Log.line(Sum);
  std::cout << Sum << std::endl;
  finish(Broken > 0 ? 1 : Whole < Uploads - 1 ? 2 : 0, {&Front});
}
