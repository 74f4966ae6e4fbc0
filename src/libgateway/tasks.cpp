// Starts coroutines and handles the exceptions that end them.
#include "libgateway/tasks.h"
#include "libgateway/log.h"

#include <asio/co_spawn.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <string>

#if defined(__GNUC__) && !defined(__clang__)
// g++ 12 inlines only one of Asio's allocation functions for coroutine frames
// and then reports the other as mismatched.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"
#endif

namespace primroseworks::gateway {

void reportException(Metrics &Counts, const char *Task,
                     const std::exception_ptr &E) {
  std::string What = "not a std::exception";
  try {
    std::rethrow_exception(E);
  } catch (const std::exception &Thrown) {
    What = Thrown.what();
  } catch (...) { // Described by the initial text.
  }
  Counts.count("task_failed");
  decisionlog::line(LogClass::Failure, "task_failed")
      .text("task", Task)
      .text("error", What);
}

void spawnTask(asio::io_context &Io, Metrics &Counts, const char *Name,
               TaskFactory Create, std::function<void()> OnFailure) {
  asio::co_spawn(Io, std::move(Create),
                 [&Counts, Name, OnFailure = std::move(OnFailure)](
                     const std::exception_ptr &E) {
                   if (!E)
                     return;
                   reportException(Counts, Name, E);
                   if (OnFailure)
                     OnFailure();
                 });
}

void spawnLoop(asio::io_context &Io, Metrics &Counts, const char *Name,
               TaskFactory Create) {
  const auto Restart = [&Io, &Counts, Name, Create] {
    const auto Timer =
        std::make_shared<asio::steady_timer>(Io, LoopRestartPause);
    Timer->async_wait([&Io, &Counts, Name, Create, Timer](std::error_code Ec) {
      if (!Ec)
        spawnLoop(Io, Counts, Name, Create);
    });
  };
  spawnTask(Io, Counts, Name, Create, Restart);
}

} // namespace primroseworks::gateway
