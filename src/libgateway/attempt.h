// One attempt of a request at an endpoint: its limits, its outcome, and what
// has arrived of its response.
#ifndef PRIMROSEWORKS_LIBGATEWAY_ATTEMPT_H
#define PRIMROSEWORKS_LIBGATEWAY_ATTEMPT_H

#include "libgateway/connections.h"
#include "libgateway/core.h"
#include "libgateway/events.h"
#include "libgateway/schedulerclient.h"

#include <algorithm>
#include <string>

namespace primroseworks::gateway {

/// Outcome of one attempt at an endpoint.
enum class AttemptOutcome {
  Delivered,    ///< The response was forwarded to the caller.
  NotConnected, ///< No connection; nothing was sent.
  NotSent,      ///< The endpoint no longer accepts requests; nothing was sent.
  HeldBack,     ///< A crash suspect that may not run there; nothing was sent.
  NotRun,       ///< The endpoint stated that it did not run the request.
  Failure,      ///< A complete response that reports a failure.
  Broken,       ///< The response was truncated or invalid.
  Overrun,      ///< More bytes than a response or an event may have.
  MemoryShort,  ///< Cut, since this process holds too much.
  Silent,       ///< No response, or no further event, before the timeout.
  Superseded,   ///< Set aside or not sent, since a silent endpoint went on.
  Suspect,      ///< Given up, since a part of its prompt was refused.
  CallerGone    ///< The caller closed its connection.
};
inline constexpr NameTable<AttemptOutcome, 13> AttemptOutcomeNames = {
    {{AttemptOutcome::Delivered, "delivered"},
     {AttemptOutcome::NotConnected, "not_connected"},
     {AttemptOutcome::NotSent, "not_sent"},
     {AttemptOutcome::HeldBack, "held_back"},
     {AttemptOutcome::NotRun, "not_run"},
     {AttemptOutcome::Failure, "failure"},
     {AttemptOutcome::Broken, "broken"},
     {AttemptOutcome::Overrun, "overrun"},
     {AttemptOutcome::MemoryShort, "memory_short"},
     {AttemptOutcome::Silent, "silent"},
     {AttemptOutcome::Superseded, "superseded"},
     {AttemptOutcome::Suspect, "suspect"},
     {AttemptOutcome::CallerGone, "caller_gone"}}};

/// Why a silent attempt was left for good.
enum class SilenceEnd {
  OtherAnswered, ///< An event, or a whole response, of another one arrived.
  RequestEnded   ///< The request was answered or given up.
};
inline constexpr NameTable<SilenceEnd, 2> SilenceEndNames = {
    {{SilenceEnd::OtherAnswered, "other_answered"},
     {SilenceEnd::RequestEnded, "request_ended"}}};

/// Timeout for opening a connection to an endpoint.
inline constexpr Milliseconds EndpointConnectTimeout{400};
/// A connection to an endpoint is closed if the TCP stack at its other end has
/// not acknowledged data or keep-alive probes for this long.
inline constexpr Milliseconds EndpointUnresponsiveTimeout{2000};
/// Added to the deadline of an attempt: an engine may respond right at its
/// deadline, and the response takes time to arrive.
inline constexpr Milliseconds DeadlineGrace{60};
/// A resumable stream without an event for this long is continued at another
/// endpoint.
inline constexpr Milliseconds StreamStallTimeout{1200};
/// Shortest timeout for the first event of a stream that may be sent to another
/// endpoint; twice the route's latency target if that is longer.
inline constexpr Milliseconds MinFirstEventTimeout{2000};
/// An attempt that timed out goes on while no other endpoint has capacity. This
/// is the interval between checks for one.
inline constexpr Milliseconds FailoverCheckInterval{150};
/// Shortest timeout of an attempt of a repeatable request before the request is
/// sent to another endpoint.
inline constexpr Milliseconds MinAttemptTimeout{250};
/// Largest event of a stream. An endpoint in trouble may send bytes without
/// end.
inline constexpr std::size_t MaxEventBytes = 1'048'576;
/// Interim responses (1xx) that are skipped before a response.
inline constexpr unsigned MaxInterimResponses = 8;
/// An answer whose events go on for this long shows that the parts of its
/// prompt do not end the endpoint.
inline constexpr Milliseconds AnswerProofPeriod{250};
/// Parts of one prompt that may be suspected; further ones are not.
inline constexpr std::size_t SuspectPartsMax = 64;
/// A crash suspect that may not run at an endpoint is looked at again after
/// this time.
inline constexpr Milliseconds SuspectCheckInterval{50};
/// A sound endpoint is silent for less than this and goes on.
inline constexpr Milliseconds EndpointHangTimeout{3000};
/// Interval between looks whether a silent endpoint has gone on.
inline constexpr Milliseconds SilenceCheckInterval{50};

/// State of one attempt. It can be set aside and resumed while its connection
/// is open.
struct Attempt {
  Choice m_choice;
  PlacedBy m_placedBy = PlacedBy::Local;
  CoordinatorTicket m_coordinatorTicket; ///< If a coordinator placed it.
  std::uint64_t m_incarnation = 0;       ///< Of the endpoint.
  std::string m_address;                 ///< Of the endpoint.
  ConnectionPtr m_connection;            ///< Null before it is sent.
  TimePoint m_sentAt{};
  /// The request was sent completely, so the attempt can be resumed.
  bool m_sent = false;
  /// It was left as silent, and its endpoint has not gone on since.
  bool m_silent = false;
  MemoryClaimPtr m_memory; ///< For what follows, and for the connection.
  std::string m_body;      ///< Of a response that is not a stream.
  /// Size of m_body when another endpoint was last considered.
  std::size_t m_checkedBodyBytes = 0;
  EventSplitter m_splitter;    ///< Of a response that is a stream.
  bool m_eventSeen = false;    ///< New or sent to the caller before.
  bool m_prefillDone = false;  ///< Its first event arrived.
  TimePoint m_firstEventsAt{}; ///< When its first events arrived.
  TimePoint m_lastEventsAt{};  ///< When its latest events arrived.
  unsigned m_eventBatches = 0; ///< Reads with events.
  TimePoint m_provedAt{};      ///< When its answer last spoke for its parts.
  bool m_stalled = false;      ///< It exceeded the route's gap target.
  unsigned m_status = 0;       ///< Of the response; 0 if none.
  /// The endpoint closed the connection before the end of its response.
  bool m_closedByPeer = false;
  /// Nothing listens at the endpoint's address.
  bool m_connectionRefused = false;
  /// It was sent and counts among the runs at its endpoint.
  bool m_running = false;
  /// It counts in the load of its endpoint.
  bool m_counted = false;
  /// Another endpoint responded at the address of the chosen one.
  bool m_endpointReplaced = false;
  /// When its endpoint last showed that it works on it.
  TimePoint lastSign() const { return std::max(m_sentAt, m_lastEventsAt); }
  /// For how long its events have gone on after the first ones.
  Duration answerAge() const { return m_lastEventsAt - m_firstEventsAt; }
  /// What it has shown so far, for its coordinator.
  AttemptObservation m_observation;
};

} // namespace primroseworks::gateway

#endif
