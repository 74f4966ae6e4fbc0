// Runs a fuzz target without libFuzzer: its valid inputs and a fixed number of
// seeded mutations of them. Usage: NAME_fuzz [COUNT [SEED]]
// An input that crashes the target is left in the file NAME_fuzz.input.
// NAME_fuzz --write FOLDER writes the valid inputs as a corpus for libFuzzer.
#include "fuzz/target.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <random>
#include <unistd.h>

namespace {

constexpr unsigned DefaultCount = 20'000;
constexpr unsigned DefaultSeed = 20261204;
constexpr unsigned MostSteps = 6;
constexpr std::size_t MaxInputBytes = 1 << 20;

/// One in so many mutations nests deeply, because small changes never do.
constexpr unsigned DeepOneIn = 500;
constexpr std::size_t DeepLevels = 200'000;

/// An input that takes longer shows work that grows without bound.
constexpr std::chrono::seconds MaxTime{10};

const std::vector<std::string> Pieces = {"[",          "]",
                                         "{",          "}",
                                         "\"",         ":",
                                         ",",          "\\u0000",
                                         "\\ud800",    "null",
                                         "true",       "-1",
                                         "1e999",      "18446744073709551616",
                                         "4294967296", "0.5",
                                         ".nan",       ".inf",
                                         "&a",         "*a",
                                         "<<: *a",     "!!binary ",
                                         "|\n",        "\n",
                                         "\r\n",       "  ",
                                         "\t",         "- ",
                                         "? ",         "data:",
                                         "id:",        "\xff\xfe",
                                         "\xc0\x80",   "\x9f",
                                         "\xbf",       "\x1b"};

std::string Current; ///< For the signal handler.
std::string CrashFile;

void onCrash(int Signal) {
  const int File = open(CrashFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  if (File >= 0 && write(File, Current.data(), Current.size()) >= 0)
    close(File);
  std::signal(Signal, SIG_DFL);
  std::raise(Signal);
}

/// A handler with a stack of its own, for inputs that exhaust the target's.
void catchCrashes() {
  constexpr std::size_t StackBytes = 1 << 16;
  static char Stack[StackBytes];
  stack_t Alternate{};
  Alternate.ss_sp = Stack;
  Alternate.ss_size = StackBytes;
  sigaltstack(&Alternate, nullptr);
  for (int Signal : {SIGSEGV, SIGABRT, SIGFPE, SIGBUS, SIGILL}) {
    struct sigaction Action {};
    Action.sa_handler = onCrash;
    Action.sa_flags = SA_ONSTACK;
    sigaction(Signal, &Action, nullptr);
  }
}

class Mutator {
public:
  Mutator(std::vector<std::string> Seeds, unsigned Seed)
      : m_seeds(std::move(Seeds)), m_random(Seed) {}

  std::string next() {
    std::string Text = m_seeds[below(m_seeds.size())];
    if (below(DeepOneIn) == 0)
      return nest(std::move(Text));
    for (std::size_t Step = 1 + below(MostSteps); Step > 0; --Step)
      change(Text);
    Text.resize(std::min(Text.size(), MaxInputBytes));
    return Text;
  }

private:
  std::size_t below(std::size_t Limit) { return m_random() % Limit; }
  std::size_t place(const std::string &Text) { return below(Text.size() + 1); }

  void change(std::string &Text) {
    const std::size_t At = place(Text);
    const std::size_t Size = below(16) + 1;
    switch (below(7)) {
    case 0:
      if (At < Text.size())
        Text[At] = static_cast<char>(Text[At] ^ (1 << below(8)));
      break;
    case 1:
      if (At < Text.size())
        Text[At] = static_cast<char>(below(256));
      break;
    case 2:
      Text.erase(At, Size);
      break;
    case 3:
      Text.insert(At, Text.substr(place(Text), Size * 4));
      break;
    case 4:
      Text.insert(At, Pieces[below(Pieces.size())]);
      break;
    case 5:
      Text.resize(At);
      break;
    default: {
      const std::string &Other = m_seeds[below(m_seeds.size())];
      Text = Text.substr(0, At) + Other.substr(place(Other));
    }
    }
  }

  /// Puts a deep nesting in place of a value or between two bytes.
  std::string nest(std::string Text) {
    const std::size_t Colon = Text.find(':', place(Text));
    const std::size_t At = Colon == std::string::npos ? place(Text) : Colon + 1;
    const bool Cbor = below(4) == 0;
    Text.insert(At, std::string(DeepLevels, Cbor ? '\x81' : '[') +
                        (Cbor ? "" : std::string(DeepLevels, ']')));
    return Text;
  }

  const std::vector<std::string> m_seeds;
  std::mt19937 m_random;
};

bool run(const std::string &Input) {
  Current = Input;
  const auto Start = std::chrono::steady_clock::now();
  LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(Current.data()),
                         Current.size());
  if (std::chrono::steady_clock::now() - Start <= MaxTime)
    return true;
  std::ofstream(CrashFile, std::ios::binary) << Current;
  std::fprintf(stderr, "an input of %zu bytes took over 10 s; see %s\n",
               Current.size(), CrashFile.c_str());
  return false;
}

} // namespace

int main(int Argc, char **Argv) {
  const std::vector<std::string> Seeds = primroseworks::fuzzSeeds();
  if (Argc == 3 && std::strcmp(Argv[1], "--write") == 0) {
    for (std::size_t I = 0; I < Seeds.size(); ++I)
      std::ofstream(std::string(Argv[2]) + "/seed-" + std::to_string(I),
                    std::ios::binary)
          << Seeds[I];
    return 0;
  }
  const unsigned long Count =
      Argc > 1 ? std::strtoul(Argv[1], nullptr, 10) : DefaultCount;
  const auto Seed = static_cast<unsigned>(
      Argc > 2 ? std::strtoul(Argv[2], nullptr, 10) : DefaultSeed);
  CrashFile = std::string(Argv[0]).substr(std::string(Argv[0]).rfind('/') + 1) +
              ".input";
  catchCrashes();
  Mutator Mutations(Seeds, Seed);
  std::size_t Bytes = 0;
  for (const std::string &Each : Seeds)
    if (!run(Each))
      return 1;
  for (unsigned long I = 0; I < Count; ++I) {
    const std::string Input = Mutations.next();
    Bytes += Input.size();
    if (!run(Input))
      return 1;
  }
  std::printf("seed %u: %zu valid inputs, %lu mutations, %zu bytes\n", Seed,
              Seeds.size(), Count, Bytes);
  return 0;
}
