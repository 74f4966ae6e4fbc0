// primrose-check-history: verifies the promises over recorded runs.
#include "primrose-check-history/check.h"

#include <iostream>

int main(int ArgumentCount, char **Arguments) {
  return primroseworks::runCheckHistory(
      std::vector<std::string>(Arguments + 1, Arguments + ArgumentCount),
      std::cout, std::cerr);
}
