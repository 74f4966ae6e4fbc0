// The command line of primrose-check-history.
#ifndef PRIMROSEWORKS_CHECK_HISTORY_CHECK_H
#define PRIMROSEWORKS_CHECK_HISTORY_CHECK_H

#include <iosfwd>
#include <string>
#include <vector>

namespace primroseworks {

/// Checks the history files named by the arguments as one run. Returns the exit
/// status: 0 sound, 1 a promise was broken, 2 wrong use or unreadable file.
int runCheckHistory(const std::vector<std::string> &Arguments,
                    std::ostream &Out, std::ostream &Errors);

} // namespace primroseworks

#endif
