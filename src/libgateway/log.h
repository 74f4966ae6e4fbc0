// Structured log: one JSON object per line on standard output, rate-limited and
// non-blocking.
#ifndef PRIMROSEWORKS_LIBGATEWAY_LOG_H
#define PRIMROSEWORKS_LIBGATEWAY_LOG_H

#include "primroseworks/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace primroseworks::gateway {

/// Classes of log lines, each with its own rate limit.
enum class LogClass {
  Lifecycle,  ///< Start, stop, reload, dependencies. Never left out.
  Failure,    ///< Requests that were rejected, late or truncated.
  Order,      ///< Orders to engines and their results.
  KnownState, ///< Changes of the process's known state.
  Success     ///< Successful requests.
};
inline constexpr std::size_t LogClassCount = 5;

/// Maximum lines per second of each class. The number of suppressed lines is
/// added to the next line of that class.
inline constexpr std::array<double, LogClassCount> MaxLogLinesPerSecond = {
    1000, 40, 60, 20, 10};
/// Maximum bytes buffered for a slow reader of standard output; further lines
/// are dropped.
inline constexpr std::size_t MaxLogBufferBytes = 262'144;

/// Builds one line and writes it to the log on destruction.
class LogLine {
public:
  LogLine(LogClass Class, std::string_view Event, bool Enabled);
  LogLine(LogLine &&Other) noexcept;
  LogLine(const LogLine &) = delete;
  LogLine &operator=(const LogLine &) = delete;
  LogLine &operator=(LogLine &&) = delete;
  ~LogLine();
  LogLine &text(std::string_view Key, std::string_view Value);
  LogLine &number(std::string_view Key, std::int64_t Value);
  LogLine &real(std::string_view Key, double Value);
  /// 16 hexadecimal digits.
  LogLine &hex(std::string_view Key, std::uint64_t Value);

private:
  LogClass m_class;
  bool m_enabled; ///< False if the class is over its rate limit; nothing is
                  ///< built.
  std::string m_line;
};

namespace decisionlog {

/// Sets the VM name that every line contains.
void setVm(const std::string &Name);
LogLine line(LogClass Class, std::string_view Event);
/// Writes buffered lines to standard output, as far as it accepts them without
/// blocking.
void flush();
/// Number of lines suppressed or dropped since the start.
std::uint64_t dropped();

} // namespace decisionlog

} // namespace primroseworks::gateway

#endif
