// Threads for connections: grown on demand up to a bound, reused, and a few
// spare ones that answer connections over the bound.
#ifndef PRIMROSEWORKS_LIBHTTP_CONNECTIONPOOL_H
#define PRIMROSEWORKS_LIBHTTP_CONNECTIONPOOL_H

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace primroseworks::pvt {

/// Runs one task per connection.
class ConnectionPool {
public:
  ConnectionPool(unsigned MaxThreads, unsigned OverloadThreads);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool &) = delete;
  ConnectionPool &operator=(const ConnectionPool &) = delete;

  /// Runs Task on a thread of its own; over the bound, on an overload thread.
  void submit(std::function<void()> Task);
  /// Runs what is queued, then joins all threads.
  void shutdown();
  unsigned active() const;
  /// Whether the calling thread serves connections over the bound.
  static bool onOverloadThread();

private:
  void serve(bool Overload);

  mutable std::mutex m_mutex;
  std::condition_variable m_ready;
  std::condition_variable m_overloadReady;
  std::deque<std::function<void()>> m_tasks; ///< At most one per idle thread.
  std::deque<std::function<void()>> m_overload;
  std::vector<std::thread> m_threads; ///< At most m_maxThreads + overload ones.
  unsigned m_maxThreads;
  unsigned m_overloadThreads;
  unsigned m_regularThreads = 0;
  unsigned m_idle = 0; ///< Regular threads that wait for a task.
  unsigned m_active = 0;
  bool m_stopping = false;
};

} // namespace primroseworks::pvt

#endif
