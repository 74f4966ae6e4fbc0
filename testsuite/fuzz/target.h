// What a fuzz target gives besides its entry point.
#ifndef PRIMROSE_FUZZ_TARGET_H
#define PRIMROSE_FUZZ_TARGET_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace primroseworks {

/// Valid inputs of the target, from which mutations start.
std::vector<std::string> fuzzSeeds();

} // namespace primroseworks

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size);

#endif
