// YAML to JSON with the origin of each value.
#include "libconfig/yaml_pvt.h"

#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace primroseworks::pvt {

namespace {

// Aliases can expand a small file into billions of nodes.
constexpr std::size_t MaxNodes = 200'000;
constexpr unsigned MaxDepth = 16;
constexpr std::size_t MaxFileBytes = 4 << 20;

using Json = nlohmann::json;

/// yaml-cpp passes other bytes on, and nlohmann/json throws when it writes
/// them.
bool isUtf8(const std::string &Text) {
  try {
    static_cast<void>(Json(Text).dump());
    return true;
  } catch (const Json::exception &) {
    return false;
  }
}

Json scalarToJson(const YAML::Node &Node) {
  const std::string &Text = Node.Scalar();
  if (Node.Tag() == "!") // Quoted.
    return Text;
  bool Bool = false;
  long long Integer = 0;
  double Real = 0;
  if (YAML::convert<bool>::decode(Node, Bool) &&
      (Text == "true" || Text == "false"))
    return Bool;
  if (YAML::convert<long long>::decode(Node, Integer))
    return Integer;
  if (YAML::convert<double>::decode(Node, Real))
    return Real;
  return Text;
}

/// Merges one file into a document.
class Merger {
public:
  Merger(const std::string &File, std::map<std::string, ConfigOrigin> &Origins)
      : m_file(File), m_origins(Origins) {}

  Result<void> mergeMap(const YAML::Node &Node, Json &Into,
                        const std::string &Path, unsigned Depth) {
    for (const auto &Item : Node) {
      if (!Item.first.IsScalar())
        return fail(Item.first, "expected a plain key; write `key: value`");
      const std::string &Key = Item.first.Scalar();
      std::string Child = Path.empty() ? Key : Path + "." + Key;
      BOOST_OUTCOME_TRYV(
          mergeValue(Item.second, Into, Key, Child, Depth, Item.first));
    }
    return boost::outcome_v2::success();
  }

private:
  Error fail(const YAML::Node &Node, const std::string &What) const {
    return makeError(
        ErrorKind::InvalidArgument,
        fmt::format("{}:{}: {}", m_file, Node.Mark().line + 1, What));
  }

  void forget(const std::string &Path) {
    m_origins.erase(Path);
    auto It = m_origins.lower_bound(Path + ".");
    while (It != m_origins.end() &&
           It->first.compare(0, Path.size() + 1, Path + ".") == 0)
      It = m_origins.erase(It);
  }

  Result<void> mergeValue(const YAML::Node &Node, Json &Into,
                          const std::string &Key, const std::string &Path,
                          unsigned Depth, const YAML::Node &KeyNode) {
    if (Node.IsNull() || !Node.IsDefined()) {
      Into.erase(Key);
      forget(Path);
      return boost::outcome_v2::success();
    }
    if (Node.IsMap()) {
      BOOST_OUTCOME_TRYV(count(Node, Depth));
      Json &Child = Into[Key];
      if (!Child.is_object()) {
        forget(Path);
        Child = Json::object();
      }
      note(KeyNode, Path);
      return mergeMap(Node, Child, Path, Depth + 1);
    }
    forget(Path);
    note(KeyNode, Path);
    BOOST_OUTCOME_TRY(Value, convert(Node, Depth));
    Into[Key] = std::move(Value);
    return boost::outcome_v2::success();
  }

  Result<void> count(const YAML::Node &Node, unsigned Depth) {
    if (Depth > MaxDepth)
      return fail(Node, fmt::format("nested deeper than {} levels; flatten it",
                                    MaxDepth));
    if (++m_nodes > MaxNodes)
      return fail(Node, fmt::format("more than {} values; split the folder or "
                                    "remove aliases that expand",
                                    MaxNodes));
    return boost::outcome_v2::success();
  }

  Result<Json> convert(const YAML::Node &Node, unsigned Depth) {
    BOOST_OUTCOME_TRYV(count(Node, Depth));
    if (Node.IsScalar())
      return scalarToJson(Node);
    if (Node.IsSequence()) {
      Json List = Json::array();
      for (const YAML::Node &Item : Node) {
        BOOST_OUTCOME_TRY(Value, convert(Item, Depth + 1));
        List.push_back(std::move(Value));
      }
      return List;
    }
    Json Map = Json::object();
    if (Node.IsMap())
      for (const auto &Item : Node) {
        if (!Item.first.IsScalar())
          return fail(Item.first, "expected a plain key; write `key: value`");
        BOOST_OUTCOME_TRY(Value, convert(Item.second, Depth + 1));
        Map[Item.first.Scalar()] = std::move(Value);
      }
    return Map;
  }

  void note(const YAML::Node &Node, const std::string &Path) {
    m_origins[Path] = ConfigOrigin{m_file, Node.Mark().line + 1};
  }

  const std::string &m_file;
  std::map<std::string, ConfigOrigin> &m_origins;
  std::size_t m_nodes = 0; ///< At most MaxNodes.
};

} // namespace

Result<void> mergeYaml(const std::string &Name, const std::string &Text,
                       nlohmann::json &Document,
                       std::map<std::string, ConfigOrigin> &Origins) {
  if (!isUtf8(Text))
    return makeError(ErrorKind::InvalidArgument,
                     Name + ": not UTF-8 text; save the file as UTF-8");
  try {
    YAML::Node Root = YAML::Load(Text);
    if (Root.IsNull() || !Root.IsDefined())
      return boost::outcome_v2::success();
    if (!Root.IsMap())
      return makeError(ErrorKind::InvalidArgument,
                       fmt::format("{}:1: expected a map of keys at the top; "
                                   "write `key: value` lines",
                                   Name));
    return Merger(Name, Origins).mergeMap(Root, Document, "", 1);
  } catch (const YAML::Exception &E) {
    return makeError(
        ErrorKind::InvalidArgument,
        fmt::format("{}:{}: not valid YAML: {}; check indentation and quotes",
                    Name, E.mark.line + 1, E.msg));
  }
}

Result<std::string> readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    return makeError(ErrorKind::NotFound,
                     Path + ": cannot be read; check the path and permissions");
  std::ostringstream Out;
  Out << In.rdbuf();
  std::string Text = Out.str();
  if (Text.size() > MaxFileBytes)
    return makeError(ErrorKind::InvalidArgument,
                     Path + ": larger than 4 MiB; split it");
  return Text;
}

} // namespace primroseworks::pvt
