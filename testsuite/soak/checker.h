// What callers and endpoints see, and the promises that it must keep.
#ifndef PRIMROSE_SOAK_CHECKER_H
#define PRIMROSE_SOAK_CHECKER_H

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace primroseworks::soak {

using Clock = std::chrono::steady_clock;

/// What may be done with a request.
enum class Work {
  Once,     ///< Must not run twice.
  Read,     ///< May run again.
  Stream,   ///< A stream that may go on elsewhere.
  OneStream ///< A stream that must not run twice.
};
inline bool mayRunAgain(Work W) { return W == Work::Read || W == Work::Stream; }

/// How a caller's attempt ended.
enum class Verdict {
  Pending,
  Success,
  NotRun,  ///< A status that promises that it did not and will not run.
  Failure, ///< Another answer.
  Cut,     ///< The connection ended without a whole answer.
  NotSent, ///< It could not be sent.
  TimedOut
};

class Checker {
public:
  void onSent(const std::string &Id, Work W) { m_requests[Id].m_work = W; }
  /// An endpoint began to work on it.
  void onRun(const std::string &Id, const std::string &Endpoint);
  void onVerdict(const std::string &Id, Verdict V);
  /// Whether any endpoint began to work on it.
  bool hasRun(const std::string &Id) const;
  void violation(const std::string &What);
  /// Promises that are judged over the whole life of a request.
  void finish();

  const std::vector<std::string> &violations() const { return m_violations; }
  std::map<Verdict, unsigned> counts() const;
  std::size_t sent() const { return m_requests.size(); }
  /// Attempts that ended since the last call, and those of them with success.
  std::pair<unsigned, unsigned> takeEnded();

private:
  struct Request {
    Work m_work = Work::Once;
    Verdict m_verdict = Verdict::Pending;
    std::vector<std::string> m_runs; ///< Endpoints, in order.
  };
  std::map<std::string, Request> m_requests; ///< By id.
  std::vector<std::string> m_violations;
  unsigned m_ended = 0;
  unsigned m_succeeded = 0;
  Clock::time_point m_start = Clock::now();
};

} // namespace primroseworks::soak

#endif
