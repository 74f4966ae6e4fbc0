// Structured log: one JSON object a line on standard output, bounded in volume
// and never blocking.
#ifndef PRIMROSEWORKS_LIBGATEWAY_LOG_H
#define PRIMROSEWORKS_LIBGATEWAY_LOG_H

#include "primroseworks/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace primroseworks::gateway {

/// Which lines compete for the same budget.
enum class LogClass {
  Lifecycle,  ///< Start, stop, reload, dependencies. Never left out.
  Failure,    ///< Requests that were refused, late or broken off.
  Order,      ///< Orders to engines and their results.
  KnownState, ///< Changes of what the process believes.
  Success     ///< Requests that went well.
};
inline constexpr std::size_t LogClassCount = 5;

/// Lines per second of each class; the rest is counted in the next summary.
inline constexpr std::array<double, LogClassCount> LogLinesPerSecond = {
    1000, 40, 60, 20, 10};
/// Bytes that wait for a slow reader of standard output; further lines are
/// left out.
inline constexpr std::size_t LogBufferBytes = 262'144;

/// Builds one line and hands it to the log when it ends.
class LogLine {
public:
  LogLine(LogClass Class, std::string_view Event, bool Kept);
  LogLine(LogLine &&Other) noexcept;
  LogLine(const LogLine &) = delete;
  LogLine &operator=(const LogLine &) = delete;
  LogLine &operator=(LogLine &&) = delete;
  ~LogLine();
  LogLine &text(std::string_view Key, std::string_view Value);
  LogLine &number(std::string_view Key, std::int64_t Value);
  LogLine &real(std::string_view Key, double Value);

private:
  LogClass m_class;
  bool m_kept; ///< False: the class is over its budget, nothing is built.
  std::string m_line;
};

namespace decisionlog {

/// Name of this VM in every line.
void setVm(const std::string &Name);
LogLine line(LogClass Class, std::string_view Event);
/// Writes what is buffered, as far as standard output takes it at once.
void flush();
/// Lines left out since the start.
std::uint64_t dropped();

} // namespace decisionlog

} // namespace primroseworks::gateway

#endif
