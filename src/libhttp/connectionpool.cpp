// Threads for connections.
#include "libhttp/connectionpool.h"

#include <utility>

namespace primroseworks::pvt {

namespace {
thread_local bool OverloadThread = false;
} // namespace

ConnectionPool::ConnectionPool(unsigned MaxThreads, unsigned OverloadThreads)
    : m_maxThreads(MaxThreads), m_overloadThreads(OverloadThreads) {
  for (unsigned I = 0; I < m_overloadThreads; ++I)
    m_threads.emplace_back([this] { serve(true); });
}

ConnectionPool::~ConnectionPool() { shutdown(); }

void ConnectionPool::submit(std::function<void()> Task) {
  std::unique_lock<std::mutex> Lock(m_mutex);
  if (m_tasks.size() < m_idle) {
    m_tasks.push_back(std::move(Task));
    m_ready.notify_one();
    return;
  }
  if (m_regularThreads < m_maxThreads && !m_stopping) {
    m_tasks.push_back(std::move(Task));
    ++m_regularThreads;
    ++m_idle;
    m_threads.emplace_back([this] { serve(false); });
    return;
  }
  m_overload.push_back(std::move(Task));
  m_overloadReady.notify_one();
}

void ConnectionPool::serve(bool Overload) {
  OverloadThread = Overload;
  auto &Tasks = Overload ? m_overload : m_tasks;
  auto &Ready = Overload ? m_overloadReady : m_ready;
  std::unique_lock<std::mutex> Lock(m_mutex);
  while (true) {
    Ready.wait(Lock, [&] { return m_stopping || !Tasks.empty(); });
    if (Tasks.empty())
      return;
    std::function<void()> Task = std::move(Tasks.front());
    Tasks.pop_front();
    if (!Overload) {
      --m_idle;
      ++m_active;
    }
    Lock.unlock();
    Task();
    Task = nullptr;
    Lock.lock();
    if (!Overload) {
      ++m_idle;
      --m_active;
    }
  }
}

void ConnectionPool::shutdown() {
  std::vector<std::thread> Threads;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_stopping = true;
    Threads.swap(m_threads);
  }
  m_ready.notify_all();
  m_overloadReady.notify_all();
  for (std::thread &Thread : Threads)
    Thread.join();
}

unsigned ConnectionPool::active() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  return m_active;
}

bool ConnectionPool::onOverloadThread() { return OverloadThread; }

} // namespace primroseworks::pvt
