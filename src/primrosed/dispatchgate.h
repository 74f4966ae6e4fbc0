// Makes the dispatcher usable by many connection threads: serialises its calls
// and blocks each request until it is granted or refused.
#ifndef PRIMROSED_DISPATCHGATE_H
#define PRIMROSED_DISPATCHGATE_H

#include "primroseworks/dispatcher.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <variant>

namespace primroseworks {

/// Withdrawn by its own side before a decision.
struct Withdrawn {};
using Placement = std::variant<Grant, Refusal, Withdrawn>;

class DispatchGate {
public:
  /// Called for each decision, for logs and `explain`.
  using DecisionLog =
      std::function<void(const DispatchRequest &, const Placement &)>;

  DispatchGate(std::unique_ptr<Dispatcher> Decider, DecisionLog Log);
  ~DispatchGate();
  DispatchGate(const DispatchGate &) = delete;
  DispatchGate &operator=(const DispatchGate &) = delete;

  /// Waits until Request is granted or refused, or Abandon becomes true.
  /// Preempt is set when the running request must be cancelled and placed
  /// again; it must live until finished().
  Placement place(const DispatchRequest &Request,
                  const std::atomic<bool> &Abandon, std::atomic<bool> &Preempt);
  void firstToken(const std::string &RequestId);
  void finished(const std::string &RequestId, AttemptOutcome Outcome,
                const StreamEnd *End);

  /// Runs Call with the dispatcher, alone, and takes the decisions after it.
  template <class F> auto with(F Call) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    return Call(*m_decider, std::chrono::steady_clock::now());
  }

private:
  struct Waiting {
    const DispatchRequest *m_request;
    std::optional<Placement> m_answer;
    std::condition_variable m_answered;
  };

  void pollLocked(TimePoint Now);
  void answerLocked(const std::string &RequestId, Placement Answer);
  void tick();

  std::mutex m_mutex;
  std::unique_ptr<Dispatcher> m_decider;
  DecisionLog m_log;
  std::map<std::string, Waiting *> m_waiting; ///< Queued, not yet answered.
  std::map<std::string, std::atomic<bool> *> m_running; ///< Granted requests.
  std::condition_variable m_wake;
  bool m_stopping = false;
  std::thread m_ticker;
};

} // namespace primroseworks

#endif
