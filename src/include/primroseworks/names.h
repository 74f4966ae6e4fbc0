// Tables that tie enumerators to their names in settings, logs and messages.
#ifndef PRIMROSEWORKS_NAMES_H
#define PRIMROSEWORKS_NAMES_H

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace primroseworks {

/// One row of a name table.
template <class E> struct EnumName {
  E m_value;
  std::string_view m_name;
};

/// All names of an enumeration, one row an enumerator.
template <class E, std::size_t N> using NameTable = std::array<EnumName<E>, N>;

/// The name of Value; "?" if the table lacks it.
template <class E, std::size_t N>
constexpr std::string_view nameOf(const NameTable<E, N> &Table, E Value) {
  for (const EnumName<E> &Row : Table)
    if (Row.m_value == Value)
      return Row.m_name;
  return "?";
}

/// The enumerator called Name, or nothing.
template <class E, std::size_t N>
constexpr std::optional<E> parseName(const NameTable<E, N> &Table,
                                     std::string_view Name) {
  for (const EnumName<E> &Row : Table)
    if (Row.m_name == Name)
      return Row.m_value;
  return std::nullopt;
}

/// All names, separated by ", ", for error messages.
template <class E, std::size_t N>
std::string allNames(const NameTable<E, N> &Table) {
  std::string Out;
  for (const EnumName<E> &Row : Table) {
    if (!Out.empty())
      Out += ", ";
    Out += Row.m_name;
  }
  return Out;
}

} // namespace primroseworks

#endif
