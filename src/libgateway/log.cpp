// Buffer, rate limits and line format of the log. spdlog does no formatting
// here: its asynchronous logger needs a thread and its sinks block on a slow
// reader, so it receives finished lines and writes them to a custom sink that
// does neither.
#include "libgateway/log.h"

#include <cstdio>
#include <fcntl.h>
#include <memory>
#include <mutex>
#include <spdlog/details/null_mutex.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace primroseworks::gateway {

namespace {

/// Buffers lines and writes them without blocking on the reader.
class BufferedSink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
  BufferedSink() {
    set_formatter(std::make_unique<spdlog::pattern_formatter>(
        "%v", spdlog::pattern_time_type::utc, "\n"));
    const int Flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (Flags >= 0)
      fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
  }
  std::uint64_t m_dropped = 0;

protected:
  void sink_it_(const spdlog::details::log_msg &Message) override {
    if (m_buffer.size() + Message.payload.size() > MaxLogBufferBytes) {
      ++m_dropped;
      return;
    }
    spdlog::memory_buf_t Line;
    formatter_->format(Message, Line);
    m_buffer.append(Line.data(), Line.size());
  }
  void flush_() override {
    while (m_written < m_buffer.size()) {
      const ssize_t N = write(STDOUT_FILENO, m_buffer.data() + m_written,
                              m_buffer.size() - m_written);
      if (N <= 0)
        break;
      m_written += static_cast<std::size_t>(N);
    }
    m_buffer.erase(0, m_written);
    m_written = 0;
  }

private:
  std::string m_buffer;
  std::size_t m_written =
      0; ///< Bytes of m_buffer written by the current flush.
};

/// Token bucket of one class, refilled at its rate in MaxLogLinesPerSecond.
struct RateLimit {
  double m_tokens = 0;
  TimePoint m_refilledAt{};
  std::uint64_t m_suppressed = 0;
};

struct LogState {
  std::string m_vm;
  std::shared_ptr<BufferedSink> m_sink = std::make_shared<BufferedSink>();
  spdlog::logger m_logger{"gateway", m_sink};
  std::array<RateLimit, LogClassCount> m_rateLimits;
};

LogState &state() {
  static LogState State;
  return State;
}

bool takeToken(LogClass Class, TimePoint Now) {
  const auto Index = static_cast<std::size_t>(Class);
  RateLimit &Limit = state().m_rateLimits[Index];
  const double Rate = MaxLogLinesPerSecond[Index];
  Limit.m_tokens =
      Limit.m_refilledAt == TimePoint{}
          ? Rate
          : std::min(Rate, Limit.m_tokens +
                               Rate * toSeconds(Now - Limit.m_refilledAt));
  Limit.m_refilledAt = Now;
  if (Limit.m_tokens < 1) {
    ++Limit.m_suppressed;
    return false;
  }
  Limit.m_tokens -= 1;
  return true;
}

void appendEscaped(std::string &Out, std::string_view Text) {
  Out += '"';
  for (char C : Text) {
    if (C == '"' || C == '\\') {
      Out += '\\';
      Out += C;
    } else if (static_cast<unsigned char>(C) < 0x20) {
      Out += ' ';
    } else {
      Out += C;
    }
  }
  Out += '"';
}

std::int64_t wallMillis() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

LogLine::LogLine(LogClass Class, std::string_view Event, bool Enabled)
    : m_class(Class), m_enabled(Enabled) {
  if (!m_enabled)
    return;
  m_line = "{\"t\":" + std::to_string(wallMillis()) + ",\"event\":";
  appendEscaped(m_line, Event);
  text("vm", state().m_vm);
}

LogLine::LogLine(LogLine &&Other) noexcept
    : m_class(Other.m_class), m_enabled(Other.m_enabled),
      m_line(std::move(Other.m_line)) {
  Other.m_enabled = false;
}

LogLine::~LogLine() {
  if (!m_enabled)
    return;
  RateLimit &Limit = state().m_rateLimits[static_cast<std::size_t>(m_class)];
  if (Limit.m_suppressed > 0) {
    number("left_out", static_cast<std::int64_t>(Limit.m_suppressed));
    Limit.m_suppressed = 0;
  }
  m_line += '}';
  state().m_logger.info(m_line);
  if (m_class == LogClass::Lifecycle)
    state().m_logger.flush();
}

LogLine &LogLine::text(std::string_view Key, std::string_view Value) {
  if (m_enabled) {
    m_line += ',';
    appendEscaped(m_line, Key);
    m_line += ':';
    appendEscaped(m_line, Value);
  }
  return *this;
}

LogLine &LogLine::hex(std::string_view Key, std::uint64_t Value) {
  return text(Key, fmt::format("{:016x}", Value));
}

LogLine &LogLine::number(std::string_view Key, std::int64_t Value) {
  if (m_enabled) {
    m_line += ',';
    appendEscaped(m_line, Key);
    m_line += ':';
    m_line += std::to_string(Value);
  }
  return *this;
}

LogLine &LogLine::real(std::string_view Key, double Value) {
  if (m_enabled) {
    m_line += ',';
    appendEscaped(m_line, Key);
    m_line += fmt::format(":{:.1f}", Value);
  }
  return *this;
}

namespace decisionlog {

void setVm(const std::string &Name) { state().m_vm = Name; }

LogLine line(LogClass Class, std::string_view Event) {
  const bool Enabled = takeToken(Class, std::chrono::steady_clock::now());
  return LogLine(Class, Event, Enabled);
}

void flush() { state().m_logger.flush(); }

std::uint64_t dropped() {
  std::uint64_t Sum = state().m_sink->m_dropped;
  for (const RateLimit &Limit : state().m_rateLimits)
    Sum += Limit.m_suppressed;
  return Sum;
}

} // namespace decisionlog

} // namespace primroseworks::gateway
