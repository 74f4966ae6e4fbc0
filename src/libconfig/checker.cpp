// Typed reading with collected faults.
#include "libconfig/checker_pvt.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace primroseworks::pvt {

namespace {

std::string join(const std::string &Path, std::string_view Key) {
  return Path.empty() ? std::string(Key) : fmt::format("{}.{}", Path, Key);
}

} // namespace

std::string Checker::place(const std::string &Path) const {
  // A missing key is reported at its nearest parent that some file set.
  std::string At = Path;
  while (true) {
    auto It = m_origins.find(At);
    if (It != m_origins.end())
      return fmt::format("{}:{}: ", It->second.m_file, It->second.m_line);
    std::size_t Dot = At.rfind('.');
    if (Dot == std::string::npos)
      return "";
    At.resize(Dot);
  }
}

void Checker::fault(const std::string &Path, const std::string &Expected,
                    const std::string &Remedy) {
  if (!m_faults.empty())
    m_faults += '\n';
  m_faults += fmt::format("{}{}: {}; {}", place(Path), Path, Expected, Remedy);
}

void Checker::allowKeys(const Json &Map, const std::string &Path,
                        std::initializer_list<std::string_view> Known) {
  if (!Map.is_object()) {
    fault(Path, "expected a map", "write `key: value` lines below it");
    return;
  }
  for (const auto &[Key, Value] : Map.items())
    if (std::find(Known.begin(), Known.end(), Key) == Known.end())
      fault(join(Path, Key), "unknown key",
            fmt::format("remove it or use one of: {}", fmt::join(Known, ", ")));
}

double Checker::number(const Json &Map, const std::string &Path,
                       const char *Key, double Default, double Low,
                       double High) {
  if (!Map.is_object() || !Map.contains(Key))
    return Default;
  const Json &Value = Map[Key];
  bool Ok = Value.is_number() && std::isfinite(Value.get<double>()) &&
            Value.get<double>() >= Low && Value.get<double>() <= High;
  if (Ok)
    return Value.get<double>();
  fault(join(Path, Key),
        fmt::format("expected a number from {} to {}, got {}", Low, High,
                    Value.dump(-1, ' ', false, Json::error_handler_t::replace)),
        fmt::format("write for example `{}: {}`", Key, Default));
  return Default;
}

std::string Checker::text(const Json &Map, const std::string &Path,
                          const char *Key, const std::string &Default) {
  if (!Map.is_object() || !Map.contains(Key))
    return Default;
  const Json &Value = Map[Key];
  if (Value.is_string())
    return Value.get<std::string>();
  if (Value.is_number_integer()) // `version: 2` means the text "2".
    return Value.dump();
  fault(join(Path, Key), "expected a text",
        fmt::format("write `{}: \"...\"`", Key));
  return Default;
}

bool Checker::flag(const Json &Map, const std::string &Path, const char *Key,
                   bool Default) {
  if (!Map.is_object() || !Map.contains(Key))
    return Default;
  if (Map[Key].is_boolean())
    return Map[Key].get<bool>();
  fault(join(Path, Key), "expected true or false",
        fmt::format("write `{}: true` or `{}: false`", Key, Key));
  return Default;
}

std::vector<std::string>
Checker::texts(const Json &Map, const std::string &Path, const char *Key) {
  std::vector<std::string> Out;
  if (!Map.is_object() || !Map.contains(Key))
    return Out;
  const Json &List = Map[Key];
  bool Ok = List.is_array() &&
            std::all_of(List.begin(), List.end(),
                        [](const Json &Item) { return Item.is_string(); });
  if (!Ok) {
    fault(join(Path, Key), "expected a list of texts",
          fmt::format("write `{}: [a, b]`", Key));
    return Out;
  }
  for (const Json &Item : List)
    Out.push_back(Item.get<std::string>());
  return Out;
}

void Checker::each(const Json &Map, const std::string &Path, const char *Key,
                   const std::function<void(const std::string &, const Json &,
                                            const std::string &)> &Visit) {
  if (!Map.is_object() || !Map.contains(Key))
    return;
  const Json &Child = Map[Key];
  std::string ChildPath = join(Path, Key);
  if (!Child.is_object()) {
    fault(ChildPath, "expected a map from name to settings",
          fmt::format("write `{}:` and below it `NAME: {{...}}`", Key));
    return;
  }
  for (const auto &[Name, Value] : Child.items())
    Visit(Name, Value, join(ChildPath, Name));
}

} // namespace primroseworks::pvt
