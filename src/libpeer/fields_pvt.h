// Reading and writing the fields of a message's CBOR map.
#ifndef PRIMROSEWORKS_LIBPEER_FIELDS_PVT_H
#define PRIMROSEWORKS_LIBPEER_FIELDS_PVT_H

#include "libbase/httpstatus.h"
#include "primroseworks/message.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace primroseworks::pvt {

using Json = nlohmann::json;

/// A field of the wrong kind; caught in decodeMessage.
struct BadField {
  std::string m_name;
};

inline Json binary(const std::string &Value) {
  return Json::binary(std::vector<std::uint8_t>(Value.begin(), Value.end()));
}

inline const Json *find(const Json &Object, const char *Name) {
  auto It = Object.find(Name);
  return It == Object.end() ? nullptr : &*It;
}

inline std::uint64_t asNumber(const Json &Value, const char *Name) {
  if (!Value.is_number_unsigned())
    throw BadField{Name};
  return Value.get<std::uint64_t>();
}

inline unsigned asUnsigned(const Json &Value, const char *Name) {
  const std::uint64_t Number = asNumber(Value, Name);
  if (Number > std::numeric_limits<unsigned>::max())
    throw BadField{Name};
  return static_cast<unsigned>(Number);
}

inline std::string asText(const Json &Value, const char *Name) {
  if (!Value.is_string())
    throw BadField{Name};
  return Value.get<std::string>();
}

inline const Json &asArray(const Json &Value, const char *Name,
                           std::size_t MinSize = 0) {
  if (!Value.is_array() || Value.size() < MinSize)
    throw BadField{Name};
  return Value;
}

inline std::uint64_t number(const Json &Object, const char *Name) {
  const Json *Field = find(Object, Name);
  return Field ? asNumber(*Field, Name) : 0;
}

inline unsigned smallNumber(const Json &Object, const char *Name) {
  const Json *Field = find(Object, Name);
  return Field ? asUnsigned(*Field, Name) : 0;
}

/// The final status of an endpoint's response; 0 if there is none.
inline int statusCode(const Json &Object, const char *Name) {
  const unsigned Code = smallNumber(Object, Name);
  if (Code != 0 && !isFinalStatus(Code))
    throw BadField{Name};
  return static_cast<int>(Code);
}

inline std::string text(const Json &Object, const char *Name) {
  const Json *Field = find(Object, Name);
  return Field ? asText(*Field, Name) : std::string();
}

inline std::string bytes(const Json &Object, const char *Name) {
  const Json *Field = find(Object, Name);
  if (!Field)
    return {};
  if (!Field->is_binary())
    throw BadField{Name};
  const auto &Data = Field->get_binary();
  return std::string(Data.begin(), Data.end());
}

inline bool flag(const Json &Object, const char *Name) {
  const Json *Field = find(Object, Name);
  if (!Field)
    return false;
  if (!Field->is_boolean())
    throw BadField{Name};
  return Field->get<bool>();
}

template <class E, std::size_t N>
E enumerator(const Json &Object, const char *Name,
             const NameTable<E, N> &Table) {
  const auto Value = parseName(Table, text(Object, Name));
  if (!Value)
    throw BadField{Name};
  return *Value;
}

template <class E, std::size_t N>
std::string enumName(const NameTable<E, N> &Table, E Value) {
  return std::string(nameOf(Table, Value));
}

/// Elements of the array field Name, or none if the field is absent.
inline const Json &elements(const Json &Object, const char *Name) {
  static const Json Empty = Json::array();
  const Json *Field = find(Object, Name);
  return Field ? asArray(*Field, Name) : Empty;
}

// Lists of numbers are flat arrays, so that each entry costs only its own
// bytes.
template <class A, class B>
void putPairs(Json &Object, const char *Name,
              const std::vector<std::pair<A, B>> &Pairs) {
  if (Pairs.empty())
    return;
  Json Flat = Json::array();
  for (const auto &[First, Second] : Pairs) {
    Flat.push_back(First);
    Flat.push_back(Second);
  }
  Object[Name] = std::move(Flat);
}

template <class A, class B>
std::vector<std::pair<A, B>> getPairs(const Json &Object, const char *Name) {
  const Json &Flat = elements(Object, Name);
  if (Flat.size() % 2 != 0)
    throw BadField{Name};
  std::vector<std::pair<A, B>> Out;
  Out.reserve(Flat.size() / 2);
  for (std::size_t I = 0; I < Flat.size(); I += 2) {
    if constexpr (std::is_same_v<A, unsigned>)
      Out.emplace_back(asUnsigned(Flat[I], Name),
                       asUnsigned(Flat[I + 1], Name));
    else if constexpr (std::is_same_v<B, unsigned>)
      Out.emplace_back(asNumber(Flat[I], Name), asUnsigned(Flat[I + 1], Name));
    else if constexpr (std::is_same_v<B, std::string>)
      Out.emplace_back(asNumber(Flat[I], Name), asText(Flat[I + 1], Name));
    else
      Out.emplace_back(asNumber(Flat[I], Name), asNumber(Flat[I + 1], Name));
  }
  return Out;
}

inline void putNumbers(Json &Object, const char *Name,
                       const std::vector<std::uint64_t> &Numbers) {
  if (!Numbers.empty())
    Object[Name] = Numbers;
}

inline std::vector<std::uint64_t> getNumbers(const Json &Object,
                                             const char *Name) {
  std::vector<std::uint64_t> Out;
  for (const Json &Element : elements(Object, Name))
    Out.push_back(asNumber(Element, Name));
  return Out;
}

inline void putNumber(Json &Object, const char *Name, std::uint64_t Value) {
  if (Value != 0)
    Object[Name] = Value;
}

inline void putText(Json &Object, const char *Name, const std::string &Value) {
  if (!Value.empty())
    Object[Name] = Value;
}

/// Writes fields. FieldReader has the same functions, so that one function
/// names the fields of a message for both directions.
class FieldWriter {
public:
  static constexpr bool Writing = true;
  template <class T> using Body = const T;

  explicit FieldWriter(Json &Out) : m_out(Out) {}
  void number(const char *Name, std::uint64_t Value) { m_out[Name] = Value; }
  void optionalNumber(const char *Name, std::uint64_t Value) {
    putNumber(m_out, Name, Value);
  }
  void status(const char *Name, int Value) { m_out[Name] = Value; }
  void text(const char *Name, const std::string &Value) { m_out[Name] = Value; }
  void optionalText(const char *Name, const std::string &Value) {
    putText(m_out, Name, Value);
  }
  void bytes(const char *Name, const std::string &Value) {
    m_out[Name] = binary(Value);
  }
  void flag(const char *Name, bool Value) { m_out[Name] = Value; }
  template <class E, std::size_t N>
  void name(const char *Name, E Value, const NameTable<E, N> &Table) {
    m_out[Name] = enumName(Table, Value);
  }
  template <class A, class B>
  void pairs(const char *Name, const std::vector<std::pair<A, B>> &Value) {
    putPairs(m_out, Name, Value);
  }
  void numbers(const char *Name, const std::vector<std::uint64_t> &Value) {
    putNumbers(m_out, Name, Value);
  }

private:
  Json &m_out;
};

/// Reads fields; a field that is absent keeps its type's empty value.
class FieldReader {
public:
  static constexpr bool Writing = false;
  template <class T> using Body = T;

  explicit FieldReader(const Json &In) : m_in(In) {}
  void number(const char *Name, std::uint64_t &Value) {
    Value = pvt::number(m_in, Name);
  }
  void optionalNumber(const char *Name, std::uint64_t &Value) {
    Value = pvt::number(m_in, Name);
  }
  void status(const char *Name, int &Value) { Value = statusCode(m_in, Name); }
  void text(const char *Name, std::string &Value) {
    Value = pvt::text(m_in, Name);
  }
  void optionalText(const char *Name, std::string &Value) {
    Value = pvt::text(m_in, Name);
  }
  void bytes(const char *Name, std::string &Value) {
    Value = pvt::bytes(m_in, Name);
  }
  void flag(const char *Name, bool &Value) { Value = pvt::flag(m_in, Name); }
  template <class E, std::size_t N>
  void name(const char *Name, E &Value, const NameTable<E, N> &Table) {
    Value = enumerator(m_in, Name, Table);
  }
  template <class A, class B>
  void pairs(const char *Name, std::vector<std::pair<A, B>> &Value) {
    Value = getPairs<A, B>(m_in, Name);
  }
  void numbers(const char *Name, std::vector<std::uint64_t> &Value) {
    Value = getNumbers(m_in, Name);
  }

private:
  const Json &m_in;
};

void put(Json &Out, const GossipMessage &Body);
void get(const Json &In, GossipMessage &Body);

} // namespace primroseworks::pvt

#endif
