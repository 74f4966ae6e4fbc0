// Whether gateways heed what endpoints say of themselves in their responses:
// that they leave, and that they want no request for a time.
#ifndef PRIMROSE_SOAK_NOTICECHECKER_H
#define PRIMROSE_SOAK_NOTICECHECKER_H

#include "checker.h"
#include "platform/enginestandin_fake.h"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace primroseworks::soak {

class NoticeChecker final : public platform::testing::EngineObserver {
public:
  /// When the link to an endpoint last had a fault; now, while it has one.
  using LinkFaultTime =
      std::function<Clock::time_point(const std::string &Endpoint)>;

  NoticeChecker(Checker &Check, LinkFaultTime LastLinkFault)
      : m_check(Check), m_lastLinkFault(std::move(LastLinkFault)) {}

  /// A caller sends a request to a VM.
  void onSent(const std::string &Id, const std::string &Vm) {
    m_requests[Id] = Request{Vm, Clock::now(), {}};
  }
  /// The head of a successful response reached the caller.
  void onPassedOn(const std::string &Id);
  /// The gateway of this VM was paused or started again, which excuses it.
  void onInterruption(const std::string &Vm);
  void onArrival(const std::string &RequestId,
                 const std::string &Endpoint) override;
  void onResponse(const std::string &RequestId, const std::string &Endpoint,
                  const platform::testing::EngineNotice &Notice) override;
  /// Counts, for the output of the run.
  std::string summary() const;

private:
  struct Request {
    std::string m_vm;
    Clock::time_point m_sentAt;
    std::string m_leavingEndpoint; ///< That responded last; empty if it stays.
  };
  /// Time in which an endpoint wants no request of a VM.
  struct Pause {
    Clock::time_point m_answeredAt;
    Clock::time_point m_end;
    unsigned m_arrivals = 0; ///< Later than PauseReaction after the answer.
  };
  using VmAndEndpoint = std::pair<std::string, std::string>;

  void checkLeaving(const std::string &Id, const Request &R,
                    const VmAndEndpoint &At);
  void checkPauses(const std::string &Id, const VmAndEndpoint &At);

  Checker &m_check;
  LinkFaultTime m_lastLinkFault;
  std::map<std::string, Request> m_requests; ///< By id.
  /// When the VM first passed on a response of an endpoint that leaves.
  std::map<VmAndEndpoint, Clock::time_point> m_leavingSince;
  std::multimap<VmAndEndpoint, Pause> m_pauses;
  unsigned m_leavingNotices = 0;
  unsigned m_arrivalsAfterNotice = 0;
  unsigned m_lateArrivals = 0; ///< Later than LeavingLimit allows.
  unsigned m_pauseNotices = 0;
  unsigned m_arrivalsInPause = 0;
  unsigned m_excessArrivals = 0; ///< More than MaxArrivalsInPause.
};

} // namespace primroseworks::soak

#endif
