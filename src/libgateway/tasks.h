// Starts the coroutines of a gateway. An exception that ends one is logged and
// counted; a loop starts again.
#ifndef PRIMROSEWORKS_LIBGATEWAY_TASKS_H
#define PRIMROSEWORKS_LIBGATEWAY_TASKS_H

#include "libgateway/metrics.h"
#include "primroseworks/time.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <exception>
#include <functional>

namespace primroseworks::gateway {

/// Pause before a loop that an exception ended starts again.
inline constexpr Milliseconds LoopRestartPause{100};

/// Logs and counts an exception that ended the coroutine Task.
void reportException(Metrics &Counts, const char *Task,
                     const std::exception_ptr &E);

/// Creates the coroutine; called once for each start.
using TaskFactory = std::function<asio::awaitable<void>()>;

/// Starts a coroutine that ends by itself. OnFailure is called if an exception
/// ended it.
void spawnTask(asio::io_context &Io, Metrics &Counts, const char *Name,
               TaskFactory Create, std::function<void()> OnFailure = nullptr);

/// Starts a coroutine that runs as long as the process, and starts it again if
/// an exception ended it.
void spawnLoop(asio::io_context &Io, Metrics &Counts, const char *Name,
               TaskFactory Create);

} // namespace primroseworks::gateway

#endif
