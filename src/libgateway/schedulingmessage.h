// Messages between a gateway and the coordinator that schedules its requests,
// as CBOR datagrams. Every message may be lost or repeated: a request is sent
// again until it is answered, and the list of open tickets corrects what lost
// updates left behind.
#ifndef PRIMROSEWORKS_LIBGATEWAY_SCHEDULINGMESSAGE_H
#define PRIMROSEWORKS_LIBGATEWAY_SCHEDULINGMESSAGE_H

#include "libgateway/chooser.h"
#include "libgateway/store.h"
#include "libgateway/waitqueue.h"
#include "primroseworks/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace primroseworks::gateway {

/// A gateway process: its VM's name and its start as wall-clock ms, which a
/// restart under the same name changes.
struct GatewayInstance {
  std::string m_name;
  std::uint64_t m_start = 0;
  bool operator<(const GatewayInstance &O) const {
    return std::tie(m_name, m_start) < std::tie(O.m_name, O.m_start);
  }
};

/// Asks a coordinator for an endpoint.
struct ScheduleRequest {
  GatewayInstance m_sender;
  TicketId m_ticket = 0;    ///< Unique within the sender.
  std::string m_domain;     ///< Failure domain of the sender.
  ChoiceQuery m_query;      ///< Without gateway count and jitter seed.
  Milliseconds m_onTime{0}; ///< Time until the response would be late.
  Milliseconds m_maxWait{0};
};

enum class ScheduleStatus {
  Granted,
  Waiting,    ///< In the coordinator's queue.
  Rejected,   ///< No endpoint is expected within the maximum wait.
  Unavailable ///< The coordinator lacks the state to schedule requests.
};
inline constexpr NameTable<ScheduleStatus, 4> ScheduleStatusNames = {
    {{ScheduleStatus::Granted, "granted"},
     {ScheduleStatus::Waiting, "waiting"},
     {ScheduleStatus::Rejected, "rejected"},
     {ScheduleStatus::Unavailable, "unavailable"}}};

/// A coordinator's answer to a ScheduleRequest.
struct ScheduleReply {
  TicketId m_ticket = 0;
  std::uint64_t m_receiverStart = 0; ///< Start of the asking process.
  std::string m_sender;              ///< Name of the coordinator.
  ScheduleStatus m_status = ScheduleStatus::Unavailable;
  Choice m_choice;                ///< The endpoint, or the obstacle.
  Milliseconds m_expectedWait{0}; ///< Of a rejected request; zero if unknown.
};

enum class AttemptStage {
  PrefillDone, ///< The first event arrived.
  Ended,
  Withdrawn ///< The request uses no endpoint and no longer waits for one.
};
inline constexpr NameTable<AttemptStage, 3> AttemptStageNames = {
    {{AttemptStage::PrefillDone, "prefill_done"},
     {AttemptStage::Ended, "ended"},
     {AttemptStage::Withdrawn, "withdrawn"}}};

/// What an attempt showed about its endpoint.
struct AttemptObservation {
  std::optional<AttemptHealth> m_health; ///< Empty: the caller left.
  double m_firstByteMs = 0;              ///< 0: there was no response.
  double m_firstEventMs = 0;             ///< 0: there was no event.
  double m_intervalMs = 0;       ///< Mean between events; 0: fewer than two.
  std::optional<bool> m_stalled; ///< Empty: not known.
  bool m_artifactRejected = false;
  bool m_endpointReplaced = false;
  /// What the endpoint said of itself.
  bool m_leaving = false;
  Milliseconds m_pause{0};         ///< Rest of the pause it asked for.
  std::uint64_t m_incarnation = 0; ///< That said so.
};

/// Progress of a request that a coordinator scheduled.
struct AttemptUpdate {
  GatewayInstance m_sender;
  TicketId m_ticket = 0;
  AttemptStage m_stage = AttemptStage::Withdrawn;
  AttemptObservation m_observation;
};

/// All tickets that the sender has open at the receiving coordinator.
struct OpenTickets {
  GatewayInstance m_sender;
  std::vector<TicketId> m_tickets;
};

/// Store changes that a coordinator's watch returned, for the gateways of its
/// failure domain. Complete for the versions from m_from on up to m_to; all are
/// of one era.
struct StoreRelay {
  std::string m_sender;
  StoreVersion m_from;
  StoreVersion m_to;
  std::vector<StoreChange> m_changes;
  /// Time since the sending of the store call whose answer showed that there
  /// are no further changes; empty if none did.
  std::optional<Milliseconds> m_age;
  /// It confirms the configuration alone, with an age and without changes.
  bool m_configurationOnly = false;
};

/// Asks a gateway for what one that starts needs. The answer is a peer report
/// that names m_sender.m_start.
struct StartQuery {
  GatewayInstance m_sender;
  std::string m_domain; ///< Failure domain of the sender.
};

using SchedulingMessage =
    std::variant<ScheduleRequest, ScheduleReply, AttemptUpdate, OpenTickets,
                 StoreRelay, StartQuery>;

/// Maximum size of a relayed change; gateways read larger ones themselves.
inline constexpr std::size_t MaxRelayedValueBytes = 12'000;
/// Maximum total size of the changes in one relay.
inline constexpr std::size_t MaxRelayBytes = 24'000;

std::string encodeSchedulingMessage(const SchedulingMessage &Message);
/// Fails with Protocol if Bytes is not a valid message.
Result<SchedulingMessage> decodeSchedulingMessage(const std::string &Bytes);
/// Whether a datagram is a scheduling message and not a peer report.
bool isSchedulingMessage(const std::string &Bytes);

} // namespace primroseworks::gateway

#endif
