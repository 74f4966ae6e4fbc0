// Starts coroutines and handles the exceptions that end them.
#include "libgateway/tasks.h"
#include "libgateway/log.h"

#include <asio/co_spawn.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <string>

namespace primroseworks::gateway {

namespace {

std::string describe(const std::exception_ptr &E) {
  try {
    std::rethrow_exception(E);
  } catch (const std::exception &Thrown) {
    return Thrown.what();
  } catch (...) {
    return "not a std::exception";
  }
}

} // namespace

void reportException(Metrics &Counts, const char *Task,
                     const std::exception_ptr &E) {
  try {
    Counts.count("task_failed");
    decisionlog::line(LogClass::Failure, "task_failed")
        .text("task", Task)
        .text("error", describe(E));
  } catch (...) { // What follows must be done, whether this is told or not.
  }
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
  const auto Timer = std::make_shared<asio::steady_timer>(Io);
  const auto Restart = [&Io, &Counts, Name, Create, Timer] {
    Timer->expires_after(LoopRestartPause);
    Timer->async_wait([&Io, &Counts, Name, Create, Timer](std::error_code Ec) {
      if (!Ec)
        spawnLoop(Io, Counts, Name, Create);
    });
  };
  spawnTask(Io, Counts, Name, std::move(Create), Restart);
}

} // namespace primroseworks::gateway
