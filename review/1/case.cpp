// An engine goes dark in the middle of its streams and is back later, which
// resets the connections of its former run. One of the streams had no length.
// Its caller must not get it as complete. Then the same with the whole answer
// of an instance of a plain service.
#include "lab.h"

#include <iostream>
#include <sstream>

using namespace review;

namespace {

constexpr int EarlierStreams = 14;
constexpr int Streams = 6; ///< One of these and of all 20 has no length: 0.05.
constexpr int Events = 57;
constexpr Ms EventGap{30};
constexpr Ms StartGap{15};
/// `srv_crash`, dark; the site has for_s = 2.0 and more.
constexpr Ms DarkTime{1400};
/// A prompt of 1,460 tokens, of which 20.4 are read in a ms.
constexpr Ms Prefill{1460 * 10 / 204};

/// The same for a plain service, whose requests are given up on after 3 s: an
/// instance is dark for so long, and another one works 220 ms, the site's most.
constexpr int PlainRequests = 20; ///< One gets no length.
constexpr Ms PlainDarkTime{1690};
constexpr Ms PlainWork{220};
const std::string Half(400, 'x');

std::string event(int Number, const std::string &Id) {
  return "id: " + std::to_string(Number) + "\ndata: piece " +
         std::to_string(Number) + " of " + Id + "\n\n";
}

} // namespace

int main(int Count, char **Argv) {
  const bool Trouble = playsDisruption(Count, Argv);
  Record Log(Argv[1]);
  Store Platform;
  Platform.listen(ip(200));
  Platform.put("op/config", configuration(1).dump());
  std::atomic<int> Prompts{0}; ///< That i-2 has to read, one after the other.
  std::string Unframed;        ///< Id of the stream that gets no length at i-1.
  std::atomic<bool> Dark{false};
  const auto Stream = [&](Engine &E, Socket &S, const Message &Request,
                          const std::string &Id) {
    const std::string Last = Request.header("Last-Event-Id");
    Log.line("run       " + Id + " at " + E.id() +
             (Last.empty() ? "" : ", goes on after event " + Last));
    const bool First = E.id() == "i-1";
    if (First) {
      sleepFor(Ms(20));
    } else if (Id == Unframed) {
      sleepFor(Prefill * Streams); // The last one.
    } else {
      sleepFor(Prefill * ++Prompts);
    }
    const bool Chunked = !(First && Id == Unframed);
    Headers H = Engine::answerHeaders(Id);
    H["Content-Type"] = "text/event-stream";
    if (Chunked)
      H["Transfer-Encoding"] = "chunked";
    bool Open = S.send(openResponse(200, H));
    for (int I = Last.empty() ? 1 : std::stoi(Last) + 1; Open && I <= Events;
         ++I) {
      while (First && Dark)
        sleepFor(Ms(5)); // Until the connection is reset.
      Open = S.send(Chunked ? chunk(event(I, Id)) : event(I, Id));
      if (I < Events)
        sleepFor(EventGap);
    }
    return Open && Chunked && S.send(chunk(""));
  };
  Engine One(Platform, "i-1", "model", "tunis-a", {"m1", "m2"}, 64, Stream);
  Engine Two(Platform, "i-2", "model", "sfax-a", {"m1", "m2"}, 64, Stream);
  One.start(ip(101));
  Gateway Front({"front-tunis-a-1", ip(1), "tunis-a", Platform.address()});
  Front.start();
  if (!Front.awaitReady(Ms(10000)))
    finish(2, {&Front});
  std::atomic<int> Whole{0};
  std::atomic<int> Cut{0};
  std::atomic<int> Broken{0};
  const auto Ask = [&](int Prompt, const std::string &Id) {
    Request R;
    R.m_path = "/stream/x";
    R.m_deadline = Ms(15000);
    R.m_headers = {{"X-Primroseworks-Model", "m1"},
                   {"X-Primroseworks-Token-Usage", "1460,171"},
                   {"X-Primroseworks-Prompt-Prefix",
                    "a1:350," + std::to_string(1000 + Prompt) + ":1110"}};
    Log.line("sent      " + Id + (Id == Unframed ? " (gets no length)" : ""));
    const Message M = send(Front.address(), R, Id).m_message;
    const auto At = M.m_body.rfind("id: ");
    const int Last =
        At == std::string::npos ? 0 : std::atoi(M.m_body.c_str() + At + 4);
    Log.line("answered  " + Id + " " + std::to_string(M.status()) +
             (M.m_complete ? " complete" : " cut") + ", last event " +
             std::to_string(Last) + " of " + std::to_string(Events));
    Whole += M.m_complete && Last == Events ? 1 : 0;
    Cut += M.m_complete ? 0 : 1;
    if (M.status() == 200 && M.m_complete && Last < Events) {
      ++Broken;
      Log.line("BROKEN    ORDER, MIXED: " + Id +
               " ends as complete before its last piece");
    }
  };
  std::vector<std::thread> Callers;
  for (int I = 1; I <= EarlierStreams; ++I)
    Callers.emplace_back(Ask, I, newId());
  for (std::thread &T : Callers)
    T.join();
  Callers.clear();
  for (int I = 1; I <= Streams; ++I) {
    const std::string Id = newId();
    if (I == Streams)
      Unframed = Id;
    Callers.emplace_back(Ask, EarlierStreams + I, Id);
    sleepFor(StartGap);
  }
  Two.start(ip(102)); // Later, so that all streams begin at i-1.
  sleepFor(Ms(500));
  if (Trouble) {
    Log.line("i-1 goes dark");
    Dark = true;
    One.m_dark = true;
    sleepFor(DarkTime);
    Log.line("i-1 is back: the connections of its former run are reset");
    One.crash(true);
    One.m_dark = false;
    One.startAgain();
    Dark = false;
  }
  for (std::thread &T : Callers)
    T.join();
  // The plain service.
  std::atomic<int> BrokenPlain{0};
  std::atomic<int> WholePlain{0};
  std::string UnframedPlain;
  const auto Answer = [&](Engine &E, Socket &S, const Message &,
                          const std::string &Id) {
    Log.line("run       " + Id + " at " + E.id());
    const std::string Body = Half + "half of " + Id + Half;
    if (Id != UnframedPlain || E.id() != "p-1") {
      sleepFor(Id == UnframedPlain ? PlainWork : Ms(30));
      return S.send(response(200, Engine::answerHeaders(Id), Body));
    }
    S.send(openResponse(200, Engine::answerHeaders(Id)) + Half);
    while (Dark)
      sleepFor(Ms(5)); // Until the connection is reset.
    S.send(Body.substr(Half.size()));
    return false;
  };
  Engine PlainOne(Platform, "p-1", "plain", "tunis-a", {}, 6, Answer);
  Engine PlainTwo(Platform, "p-2", "plain", "sfax-a", {}, 6, Answer);
  PlainOne.start(ip(111));
  sleepFor(Ms(700));
  for (int I = 1; I <= PlainRequests; ++I) {
    const std::string Id = newId();
    const bool Last = I == PlainRequests;
    std::thread Reset;
    if (Last) {
      UnframedPlain = Id;
      PlainTwo.start(ip(112));
      sleepFor(Ms(700));
      Dark = Trouble;
      if (Trouble)
        Reset = std::thread([&] {
          sleepFor(Ms(100));
          Log.line("p-1 is dark, after half of its answer");
          PlainOne.m_dark = true;
          sleepFor(PlainDarkTime - Ms(100));
          Log.line("p-1 is back: the connections of its former run are reset");
          PlainOne.crash(true);
          Dark = false;
        });
    }
    Request R;
    R.m_method = "GET";
    R.m_path = "/safe/x";
    R.m_deadline = Ms(3000);
    Log.line("sent      " + Id + (Last ? " (gets no length)" : ""));
    const Message M = send(Front.address(), R, Id).m_message;
    const bool WholeBody = M.m_body == Half + "half of " + Id + Half;
    Log.line("answered  " + Id + " " + std::to_string(M.status()) + ", " +
             std::to_string(M.m_body.size()) + " bytes");
    WholePlain += M.status() == 200 && WholeBody ? 1 : 0;
    if (M.status() == 200 && M.m_complete && !WholeBody) {
      ++BrokenPlain;
      Log.line("BROKEN    MIXED: " + Id + " gets a part of the body as whole");
    }
    if (Reset.joinable())
      Reset.join();
  }
  std::istringstream Lines(Front.log());
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.find(Unframed) != std::string::npos ||
        Line.find(UnframedPlain) != std::string::npos)
      Log.line("gateway   " + Line);
  const std::string Sum =
      std::to_string(EarlierStreams + Streams) + " streams, " +
      std::to_string(Whole) + " whole, " + std::to_string(Cut) + " cut, " +
      std::to_string(Broken) + " end as complete before their last piece; " +
      std::to_string(PlainRequests) + " plain requests, " +
      std::to_string(WholePlain) + " whole, " + std::to_string(BrokenPlain) +
      " got a part as whole";
  Log.line(Sum);
  std::cout << Sum << std::endl;
  finish(Broken + BrokenPlain > 0 ? 1 : Whole + Cut == 0 ? 2 : 0, {&Front});
}
