// Hands a stream from the task that reads the engine to the task that writes
// to the caller, so that the status of the answer is known before it starts
// and a slow caller does not hold up the engine.
#ifndef PRIMROSED_STREAMPIPE_H
#define PRIMROSED_STREAMPIPE_H

#include "primrosed/completion.h"

#include <condition_variable>
#include <deque>
#include <mutex>

namespace primroseworks {

/// A token on its way to the caller.
struct StreamPiece {
  std::string m_eventId;
  std::string m_text;
};

class StreamPipe {
public:
  void push(StreamPiece Piece) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_pieces.push_back(std::move(Piece));
    m_changed.notify_one();
  }

  void finish(CompletionResult Result) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_result = std::move(Result);
    m_changed.notify_one();
  }

  /// Waits up to Wait for pieces or the end, and takes all pieces. True with
  /// none: nothing came in time. False: the stream has ended.
  bool take(std::deque<StreamPiece> &Out, Milliseconds Wait) {
    std::unique_lock<std::mutex> Lock(m_mutex);
    m_changed.wait_for(Lock, Wait,
                       [this] { return !m_pieces.empty() || m_result; });
    Out.swap(m_pieces);
    m_pieces.clear();
    return !Out.empty() || !m_result;
  }

  /// Waits until there is a first piece or an end.
  void waitForStart() {
    std::unique_lock<std::mutex> Lock(m_mutex);
    m_changed.wait(Lock, [this] { return !m_pieces.empty() || m_result; });
  }

  /// Whether it ended before the first piece was pushed.
  bool endedEmpty() {
    std::lock_guard<std::mutex> Lock(m_mutex);
    return m_pieces.empty() && m_result;
  }

  /// The end; valid after take() returned false.
  const CompletionResult &result() const { return *m_result; }

  /// Set when nobody waits for the stream any more.
  std::atomic<bool> m_abandon{false};

private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::deque<StreamPiece> m_pieces; ///< At most the tokens of one answer.
  std::optional<CompletionResult> m_result; ///< Set once.
};

} // namespace primroseworks

#endif
