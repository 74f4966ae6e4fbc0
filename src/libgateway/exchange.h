// One request of a caller, from its arrival to the end of its answer.
#ifndef PRIMROSEWORKS_LIBGATEWAY_EXCHANGE_H
#define PRIMROSEWORKS_LIBGATEWAY_EXCHANGE_H

#include "libgateway/core.h"
#include "libgateway/events.h"

#include <asio/awaitable.hpp>
#include <memory>
#include <string>

namespace primroseworks::gateway {

/// How one attempt at an endpoint ended.
enum class AttemptEnd {
  Delivered,
  NotConnected, ///< Nothing was sent.
  NotRun,       ///< The endpoint states that it did not run the request.
  Failure,      ///< A whole answer that tells of a failure.
  Broken,       ///< The answer ended early or was spoilt.
  Silent,       ///< No answer, or no further event, in the time allowed.
  CallerGone
};
inline constexpr NameTable<AttemptEnd, 7> AttemptEndNames = {
    {{AttemptEnd::Delivered, "delivered"},
     {AttemptEnd::NotConnected, "not_connected"},
     {AttemptEnd::NotRun, "not_run"},
     {AttemptEnd::Failure, "failure"},
     {AttemptEnd::Broken, "broken"},
     {AttemptEnd::Silent, "silent"},
     {AttemptEnd::CallerGone, "caller_gone"}}};

/// A new connection to an endpoint takes no longer.
inline constexpr Milliseconds EndpointConnectLimit{400};
/// A connection to an endpoint ends after this silence of its peer's kernel.
inline constexpr Milliseconds EndpointSilenceLimit{2000};
/// Part of the time left that a request may wait for an endpoint; the rest is
/// left for its caller to come back.
inline constexpr double WaitShare = 0.5;
/// An engine answers at its deadline; its answer needs the way back.
inline constexpr Milliseconds DeadlineGrace{60};
/// Pause within a stream after which it goes on elsewhere, if it may.
inline constexpr Milliseconds StreamStallTimeout{1200};
/// First event overdue, if the stream may go on elsewhere.
inline constexpr Milliseconds FirstEventLimit{2000};
/// A silent endpoint is kept while no other has a place; that is looked at
/// again after this time.
inline constexpr Milliseconds MoveLookPause{150};
/// Shortest time that a repeatable request gets before it is sent elsewhere.
inline constexpr Milliseconds RepeatableLimit{250};
/// Longest body of an answer that is not a stream.
inline constexpr std::size_t AnswerBodyLimit = 8'388'608;
/// A configuration mostly comes within this time of the start.
inline constexpr Milliseconds ConfigurationUsual{1000};

class Exchange : public std::enable_shared_from_this<Exchange>, public Waiter {
public:
  Exchange(Core &Shared, asio::ip::tcp::socket &Caller, HttpHead Head,
           std::string Body, TimePoint Arrived);
  /// Serves the request; true if the caller's connection may be kept.
  asio::awaitable<bool> run();
  /// The caller's connection has ended.
  void onCallerGone();
  void onPlaced(const Choice &Where) override;
  void onTurnedAway() override { m_wake.cancel(); }

private:
  asio::awaitable<bool> serve();
  asio::awaitable<bool> rejectUnconfigured(TimePoint Now);
  asio::awaitable<bool> afterAttempt(AttemptEnd End);
  asio::awaitable<bool> acquireEndpoint();
  asio::awaitable<AttemptEnd> attempt();
  asio::awaitable<AttemptEnd> readAnswer(ConnectionPtr C);
  asio::awaitable<AttemptEnd> relayEvents(ConnectionPtr C, Watchdog &Dog);
  asio::awaitable<bool> write(std::string Bytes);
  asio::awaitable<bool> answerOwn(unsigned Status, std::string Reason,
                                  Duration RetryAfter);
  asio::awaitable<bool> deliver(const HttpHead &Head, std::string Body);
  asio::awaitable<bool> rejectNotRun(std::string Reason);
  asio::awaitable<bool> fail(std::string Reason);

  void describe(TimePoint Now);
  void notePromptRead();
  void notePause(TimePoint Now);
  std::string requestBytes(TimePoint Now) const;
  std::string answerHead(const HttpHead &Head, bool Chunked,
                         std::size_t Length) const;
  bool mayRepeat(TimePoint Now);
  bool canMove(TimePoint Now);
  Watchdog::Extension keepUnlessMovable();
  TimePoint attemptLimit(TimePoint Now) const;
  Duration waitLimit(TimePoint Now) const;
  Duration expectedWait(ChoiceObstacle Obstacle, TimePoint Now) const;
  Duration retryAfterNow(TimePoint Now);
  void noteAttempt(AttemptEnd End, TimePoint Now);
  void logEnd(TimePoint Now) const;

  Core &m_core;
  asio::ip::tcp::socket &m_caller;
  HttpHead m_head;
  std::string m_body;
  TimePoint m_arrived;
  TimePoint m_endBy{}; ///< The caller or the operator waits no longer.
  ConfigurationPtr m_configuration; ///< In force when the request came.
  const Route *m_route = nullptr;   ///< Within m_configuration.
  RequestFacts m_facts;
  ChoiceQuery m_query;
  std::uint64_t m_fingerprint = 0; ///< The same for a request that comes again.
  bool m_engine = false;           ///< The service's endpoints hold models.

  asio::steady_timer m_wake; ///< Ends a wait for an endpoint.
  TicketId m_ticket = 0;     ///< While it waits.
  bool m_placed = false;
  Choice m_choice;
  ConnectionPtr m_connection; ///< Of the attempt in progress.
  bool m_gone = false;
  bool m_keep = false; ///< The caller's connection may be kept.

  unsigned m_sends = 0;      ///< Attempts that reached an endpoint.
  bool m_mayHaveRun = false; ///< An attempt ended without a statement.
  bool m_committed = false;  ///< The answer's head went to the caller.
  std::optional<std::uint64_t> m_lastEvent; ///< Sent to the caller.
  HttpAnswer m_failure; ///< Latest whole failure; status 0 if there was none.
  unsigned m_attemptStatus = 0;    ///< Of the last attempt's answer, 0 if none.
  bool m_endpointReplaced = false; ///< Another endpoint has its address.
  TimePoint m_sentAt{};            ///< Of the attempt in progress.
  TimePoint m_lastRead{};          ///< When the last events came.
  Duration m_longestPause{};       ///< Between events, of all attempts.
  bool m_paused = false;           ///< The attempt had a pause over the target.
  bool m_promptRead = false;  ///< The engine has read the attempt's prompt.
  bool m_endedByPeer = false; ///< The last attempt's connection broke.

  std::string m_outcome; ///< For the log.
  std::string m_reason;
  unsigned m_status = 0;
  Duration m_waited{};
  TimePoint m_firstByte{};
};

} // namespace primroseworks::gateway

#endif
