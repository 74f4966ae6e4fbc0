// An instance of a plain service runs a request and then fails it with a 503 of
// its own, which does not state that the request did not run. A 503 promises
// the caller just that: it sends the request again, as the pages allow.
#include "lab.h"

#include <iostream>

using namespace review;

namespace {

constexpr int Requests = 120;
constexpr Ms Gap{70};         ///< 14.5 requests a second.
constexpr Ms WorkTime{30};    ///< Of `slot-booking`.
constexpr double Share = 0.4; ///< `srv_grey`, x, at one instance of three.
constexpr int Machines = 3;

} // namespace

int main(int Count, char **Argv) {
  const bool Trouble = playsDisruption(Count, Argv);
  Record Log(Argv[1]);
  Store Platform;
  Platform.listen(ip(200));
  Platform.put("op/config", configuration(1).dump());

  Runs Ran; ///< By request id.
  std::mutex Mutex;
  std::map<std::string, int> Booked; ///< How often each booking was made.
  int AtGrey = 0;
  int Failed = 0;
  const auto Do = [&](Engine &E, Socket &S, const Message &Request,
                      const std::string &Id) {
    Ran.add(Id, E.id());
    sleepFor(WorkTime);
    bool Fails = false;
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      ++Booked[Request.m_body];
      if (Trouble && E.id() == "i-1") {
        ++AtGrey;
        Fails = Failed + 1 <= Share * AtGrey;
        Failed += Fails ? 1 : 0;
      }
    }
    Log.line("run       " + Id + " (" + Request.m_body + ") at " + E.id() +
             (Fails ? ", fails after its work" : ""));
    const Headers Own = Engine::answerHeaders(Id);
    return Fails ? S.send(response(503, Own, "{\"error\":\"no ledger\"}"))
                 : S.send(response(200, Own, "{\"booked\":true}"));
  };
  std::vector<std::unique_ptr<Engine>> Instances;
  const char *ZoneNames[] = {"tunis-a", "sfax-a", "djerba-a"};
  for (int I = 0; I < 3; ++I) {
    Instances.push_back(std::make_unique<Engine>(
        Platform, "i-" + std::to_string(I + 1), "plain", ZoneNames[I],
        std::vector<std::string>{}, 6, Do));
    Instances.back()->start(ip(10 + I));
  }
  std::vector<std::unique_ptr<Gateway>> Gateways;
  std::vector<Gateway *> All;
  for (int I = 0; I < Machines; ++I) {
    Gateways.push_back(std::make_unique<Gateway>(
        GatewayOptions{"front-" + std::to_string(I + 1), ip(100 + I),
                       ZoneNames[I], Platform.address()}));
    All.push_back(Gateways.back().get());
    All.back()->start();
  }
  for (Gateway *G : All)
    if (!G->awaitReady(Ms(10000)))
      finish(2, All);
  sleepFor(Ms(2000));

  std::atomic<int> Refused{0};
  std::atomic<int> Served{0};
  const auto Book = [&](int Number) {
    Request R;
    R.m_path = "/unsafe/book";
    R.m_body = "booking " + std::to_string(Number);
    for (int Try = 0; Try < 2; ++Try) { // One retry, after a promise only.
      const std::string Id = newId();
      const Message M =
          send(All[(Number + Try) % Machines]->address(), R, Id).m_message;
      const auto Where = Ran.of(Id);
      Log.line("answered  " + Id + " (" + R.m_body + ") with " +
               std::to_string(M.status()) + ", ran " +
               std::to_string(Where.size()) + " times");
      const bool Promised = M.status() == 503 || M.status() == 429 ||
                            M.status() == 408 || M.status() == 421;
      Served += M.status() == 200 ? 1 : 0;
      if (!Promised)
        return;
      if (!Where.empty()) {
        ++Refused;
        Log.line("BROKEN    REFUSED: " + Id + " is answered " +
                 std::to_string(M.status()) + " and has run at " + Where[0]);
      }
      const std::string After = M.header("Retry-After");
      sleepFor(
          Ms(After.empty() ? 20 : static_cast<int>(1000 * std::stod(After))));
    }
  };
  std::vector<std::thread> Callers;
  for (int I = 0; I < Requests; ++I) {
    Callers.emplace_back([&Book, I] { Book(I); });
    sleepFor(Gap);
  }
  for (std::thread &T : Callers)
    T.join();
  int Doubled = 0;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &[Name, Times] : Booked)
      Doubled += Times > 1 ? 1 : 0;
  }
  const std::string Sum = "served " + std::to_string(Served) +
                          ", refused though run " + std::to_string(Refused) +
                          ", bookings made twice " + std::to_string(Doubled);
  Log.line(Sum);
  std::cout << Sum << '\n';
  if (Served < Requests / 2)
    finish(2, All);
  finish(Refused > 0 ? 1 : 0, All);
}
