// Version of the library.
#ifndef PRIMROSEWORKS_VERSION_H
#define PRIMROSEWORKS_VERSION_H

#include <string_view>

namespace primroseworks {

/// "MAJOR.MINOR.PATCH".
std::string_view libraryVersion();

} // namespace primroseworks

#endif
