// Reads typed values out of a JSON document and collects every fault, each
// with file, line, key, what was expected, and the remedy.
#ifndef PRIMROSEWORKS_LIBCONFIG_CHECKER_PVT_H
#define PRIMROSEWORKS_LIBCONFIG_CHECKER_PVT_H

#include "primroseworks/config.h"

#include <functional>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string_view>

namespace primroseworks::pvt {

class Checker {
public:
  using Json = nlohmann::json;

  explicit Checker(const std::map<std::string, ConfigOrigin> &Origins)
      : m_origins(Origins) {}

  /// Records a fault at Path.
  void fault(const std::string &Path, const std::string &Expected,
             const std::string &Remedy);

  /// Faults every key of Map that is not in Known.
  void allowKeys(const Json &Map, const std::string &Path,
                 std::initializer_list<std::string_view> Known);

  /// Value of Map[Key] if it is a number within [Low, High]; Default if absent.
  double number(const Json &Map, const std::string &Path, const char *Key,
                double Default, double Low, double High);
  std::string text(const Json &Map, const std::string &Path, const char *Key,
                   const std::string &Default);
  bool flag(const Json &Map, const std::string &Path, const char *Key,
            bool Default);
  std::vector<std::string> texts(const Json &Map, const std::string &Path,
                                 const char *Key);
  /// Calls Visit for each entry of the map Map[Key]; faults other types.
  void each(const Json &Map, const std::string &Path, const char *Key,
            const std::function<void(const std::string &Name, const Json &Value,
                                     const std::string &Path)> &Visit);

  /// All faults, one a line; empty if there is none.
  const std::string &faults() const { return m_faults; }

private:
  std::string place(const std::string &Path) const;

  const std::map<std::string, ConfigOrigin> &m_origins;
  std::string m_faults;
};

} // namespace primroseworks::pvt

#endif
