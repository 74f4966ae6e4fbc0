// The commands of primrosectl.
#ifndef PRIMROSECTL_COMMANDS_H
#define PRIMROSECTL_COMMANDS_H

#include "primrosectl/operatorclient.h"

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace primroseworks::ctl {

/// Exit codes, for scripts.
enum class Exit {
  Ok = 0,
  Differs = 1,     ///< `config diff` found differences.
  Usage = 2,       ///< Wrong arguments.
  Invalid = 3,     ///< The configuration or the folder is wrong.
  Conflict = 4,    ///< Somebody else changed the configuration first.
  Unreachable = 5, ///< The daemon or the store gave no answer.
  Refused = 6,     ///< The daemon refused: token, unknown name.
  NotInForce = 7   ///< Accepted, but not in force everywhere in time.
};

struct Invocation {
  std::vector<std::string> m_words; ///< Command and its arguments.
  ClientOptions m_client;
  bool m_json = false;
  bool m_origin = false;
  std::optional<std::uint64_t> m_expected; ///< Revision to replace.
  std::vector<std::string> m_logs;         ///< Files of `explain --logs`.
};

/// Runs one command; results to Out, errors to Err.
Exit run(const Invocation &Call, std::ostream &Out, std::ostream &Err);

/// One line a command, for --help.
std::string commandHelp();

} // namespace primroseworks::ctl

#endif
