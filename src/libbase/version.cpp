// Version of the library.
#include "primroseworks/version.h"

namespace primroseworks {

std::string_view libraryVersion() { return "0.1.0"; }

} // namespace primroseworks
