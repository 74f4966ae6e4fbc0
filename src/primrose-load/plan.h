// What is sent and when: seeded arrivals over a mix of models, ranks and
// prompts.
#ifndef PRIMROSE_LOAD_PLAN_H
#define PRIMROSE_LOAD_PLAN_H

#include "primroseworks/catalog.h"
#include "primroseworks/error.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace primroseworks::load {

/// One kind of work.
struct WorkKind {
  std::string m_model;
  Rank m_rank = Rank::Standard;
  double m_share = 1;           ///< Relative to the other kinds.
  unsigned m_promptBytes = 400; ///< Of which half is shared by a prefix group.
  unsigned m_maxTokens = 32;
  unsigned m_prefixes = 4; ///< Groups of prompts with the same first half.
  bool m_keyed = false;    ///< Sends an Idempotency-Key.
};

struct Mix {
  std::uint64_t m_seed = 1;
  /// Start of request ids, keys and prompts; keyed runs need one each, or the
  /// second run gets the recorded answers of the first.
  std::string m_idPrefix = "load";
  double m_rate = 10; ///< Arrivals per second, exponentially spaced.
  std::vector<WorkKind> m_kinds;
};

/// One request, fixed by the seed and its number.
struct Arrival {
  std::uint64_t m_number = 0;
  Duration m_at{}; ///< After the start.
  WorkKind m_kind;
  std::string m_requestId;
  std::string m_prompt;     ///< Unique, so that an answer shows whose it is.
  std::size_t m_target = 0; ///< Index of the daemon to call.
};

/// The same seed, rate and mix give the same arrivals.
class Plan {
public:
  Plan(Mix Of, std::size_t Targets);
  Arrival next();

private:
  Mix m_mix;
  std::size_t m_targets;
  std::mt19937_64 m_random;
  std::discrete_distribution<std::size_t> m_pick;
  Duration m_at{};
  std::uint64_t m_number = 0;
};

/// Reads a YAML file; fails with InvalidArgument.
Result<Mix> readMix(const std::string &File);
/// An even mix over the models of a `GET /v1/models` answer, ranks in turn.
Result<Mix> mixFromModels(const std::string &Body);

} // namespace primroseworks::load

#endif
