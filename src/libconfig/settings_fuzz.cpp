// Fuzz target of the daemon's settings: no text may crash the reader, and what
// it accepts must be shown and have usable values.
#include "primroseworks/settings.h"

#include "fuzz/target.h"

#include <cstdlib>

std::vector<std::string> primroseworks::fuzzSeeds() {
  return {"name: daemon-1\nregion: highland\nfailure_domain: highland-1\n"
          "caller_listen: 127.0.0.1:8080\noperator_listen: 127.0.0.1:8081\n"
          "peer_listen: 127.0.0.1:8082\nkv_url: http://127.0.0.1:9000\n"
          "vm_list_url: http://127.0.0.1:9001\n"
          "cluster_key: 0123456789abcdef\noperator_token: 0123456789abcdef\n"
          "seeds: {daemon-2: 127.0.0.1:9002}\nmax_connections: 100\n"
          "drain_timeout_ms: 5000\nlog_level: info\n",
          "name: &a \"x\\ty\"\nregion: *a\nseeds:\n  one: '127.0.0.1:1'\n"
          "max_body_bytes: 1.5e4\nunknown: [1, {a: ~}]\n"};
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string Text(reinterpret_cast<const char *>(Data), Size);
  const auto Parsed = primroseworks::settings::parse("fuzz.yaml", Text);
  if (!Parsed)
    return 0;
  if (Parsed.value().m_name.empty() || Parsed.value().m_maxConnections == 0 ||
      primroseworks::settings::describe(Parsed.value()).empty())
    std::abort();
  return 0;
}
