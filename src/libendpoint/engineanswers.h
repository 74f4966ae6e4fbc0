// Bodies of an engine's answers to reads and orders.
#ifndef PRIMROSEWORKS_LIBENDPOINT_ENGINEANSWERS_H
#define PRIMROSEWORKS_LIBENDPOINT_ENGINEANSWERS_H

#include "primroseworks/engine.h"

#include <string_view>

namespace primroseworks::pvt {

// Each fails with Protocol if the body is not JSON or lacks a field.

Result<LoadReport> readReport(std::string_view Body);
Result<std::vector<CacheEvent>> readCacheEvents(std::string_view Body);
/// A state with an unknown name counts as Unknown.
Result<OrderState> readOrderState(std::string_view Body);

} // namespace primroseworks::pvt

#endif
