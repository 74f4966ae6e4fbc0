// The life of one request, read from the saved logs of several gateways.
//
// The logs are read twice: first for the lines that name the request, then for
// the lines that tell what its VMs, endpoints and model went through meanwhile.
#ifndef PRIMROSECTL_REQUESTLOG_H
#define PRIMROSECTL_REQUESTLOG_H

#include "primroseworks/error.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace primroseworks::ctl {

/// One line of a gateway's log.
struct LogEntry {
  std::int64_t m_millis = 0; ///< Time of day in ms since 1970.
  std::string m_vm;
  std::string m_event;
  nlohmann::json m_fields; ///< All fields, these three included.

  /// The field Name as text; empty if there is none.
  std::string text(const std::string &Name) const;
  /// The field Name as a number; 0 if there is none.
  double number(const std::string &Name) const;
};

/// Parses a line; nothing if it is no log line. What stands before the JSON
/// object, such as the name of a file, is passed over.
std::optional<LogEntry> parseLogLine(const std::string &Line);

/// Why a line belongs to the life of a request.
enum class Relation {
  Request,  ///< It names the request.
  Vm,       ///< It tells the state of a VM that handled the request.
  Endpoint, ///< It names an endpoint that the request was sent to.
  Model     ///< It is an order for the model or adapter of the request.
};

struct RelatedEntry {
  Relation m_relation = Relation::Request;
  LogEntry m_entry;
};

struct RequestLife {
  std::string m_id;
  std::int64_t m_arrivedMillis = 0;    ///< Time of day in ms since 1970.
  std::vector<RelatedEntry> m_entries; ///< By time.
  /// Lines beyond MaxRelatedEntries, which are not among m_entries.
  std::size_t m_leftOut = 0;
};

/// Lines around a request that are kept in memory.
inline constexpr std::size_t MaxRelatedEntries = 500;
/// Time before the arrival of a request from which lines are related to it.
inline constexpr std::int64_t RelatedMillisBefore = 5000;

/// Reads the life of request Id from log files. Fails with NotFound if a file
/// cannot be read, or if no line names the request.
Result<RequestLife> readRequestLife(const std::vector<std::string> &Files,
                                    const std::string &Id);

/// A summary, and a line for each entry.
std::string describe(const RequestLife &Life);

} // namespace primroseworks::ctl

#endif
