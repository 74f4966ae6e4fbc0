// Fuzz target for the HTTP reader: no input crashes it, and the result does not
// depend on how the stream is split into chunks.
#include "fuzz/target.h"
#include "libgateway/httpmessage.h"

#include <cstdint>
#include <cstdlib>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {

struct ReadResult {
  bool m_failed = false;
  bool m_complete = false;
  std::string m_target;
  std::string m_body;
};

ReadResult readAll(std::string_view Bytes, std::size_t ChunkSize) {
  HttpReader Reader(HttpRole::Request, 2048);
  ReadResult Out;
  std::string Input;
  while (!Bytes.empty() && !Reader.complete()) {
    Input += Bytes.substr(0, ChunkSize);
    Bytes.remove_prefix(std::min(ChunkSize, Bytes.size()));
    while (!Input.empty()) {
      Result<std::size_t> Used = Reader.read(Input);
      if (!Used) {
        Out.m_failed = true;
        return Out;
      }
      Input.erase(0, Used.value());
      if (Used.value() == 0 || Reader.complete())
        break;
    }
  }
  Out.m_complete = Reader.complete();
  Out.m_target = Reader.head().m_target;
  Out.m_body = Reader.takeBody();
  return Out;
}

} // namespace

std::vector<std::string> primroseworks::fuzzSeeds() {
  return {"POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
          "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
          "3\r\nabc\r\n0\r\n\r\n",
          "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"};
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view Bytes(reinterpret_cast<const char *>(Data), Size);
  const ReadResult Whole = readAll(Bytes, Size + 1);
  const ReadResult Split = readAll(Bytes, 3);
  if (!Whole.m_failed && !Split.m_failed &&
      (Whole.m_complete != Split.m_complete ||
       Whole.m_target != Split.m_target || Whole.m_body != Split.m_body))
    std::abort();
  return 0;
}
