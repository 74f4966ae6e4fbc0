// Documents from outside, read with a bound on their nesting.
#ifndef PRIMROSEWORKS_LIBBASE_LIMITEDJSON_H
#define PRIMROSEWORKS_LIBBASE_LIMITEDJSON_H

#include <nlohmann/json.hpp>
#include <string_view>

namespace primroseworks::pvt {

/// Deepest nesting of a JSON text from a caller, an operator or an engine.
inline constexpr std::size_t MaxJsonNesting = 64;

/// Parses a document; a discarded value if it is malformed or nested deeper.
/// nlohmann/json copies, compares and writes values, and reads CBOR, with one
/// recursion per level: 1 MB of brackets would exhaust the stack of a thread.
nlohmann::json parseLimited(std::string_view Bytes,
                            std::size_t MaxNesting = MaxJsonNesting,
                            nlohmann::json::input_format_t Format =
                                nlohmann::json::input_format_t::json);

/// Deepest nesting of a message between processes of this project.
inline constexpr std::size_t MaxMessageNesting = 8;

/// Parses a CBOR message of another process of this project, whose numbers are
/// integers; a discarded value if it is malformed, nested deeper than
/// MaxMessageNesting or contains another number.
nlohmann::json parseMessage(std::string_view Bytes);

} // namespace primroseworks::pvt

#endif
