// A caller for the failure cases.
#include "client.h"

#include "primroseworks/sse.h"

#include <asio.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace primroseworks::faults {

namespace {

using Json = nlohmann::json;

httplib::Headers toHeaders(const Headers &Sent) {
  httplib::Headers Out;
  for (const auto &[Name, Value] : Sent)
    Out.emplace(Name, Value);
  return Out;
}

void takeHead(const httplib::Response &Res, Answer &Out) {
  Out.m_status = Res.status;
  Out.m_outcome = Res.get_header_value("X-Primrose-Outcome");
  for (const auto &[Name, Value] : Res.headers)
    Out.m_headers[Name] = Value;
}

} // namespace

Answer call(const std::string &Url, const std::string &Method,
            const std::string &Path, const Headers &Sent,
            const std::string &Body, Milliseconds Timeout) {
  httplib::Client Http(Url);
  Http.set_connection_timeout(Seconds(2));
  Http.set_read_timeout(Timeout);
  httplib::Request Req;
  Req.method = Method;
  Req.path = Path;
  Req.headers = toHeaders(Sent);
  Req.body = Body;
  if (!Body.empty())
    Req.set_header("Content-Type", "application/json");
  Answer Out;
  auto Res = Http.send(Req);
  if (!Res)
    return Out;
  Out.m_received = true;
  takeHead(*Res, Out);
  Out.m_body = Res->body;
  return Out;
}

StreamAnswer stream(const std::string &Url, const Headers &Sent,
                    const std::string &Body, unsigned StopAfter,
                    Milliseconds Timeout) {
  StreamAnswer Out;
  unsigned Events = 0;
  SseParser Parser([&](const SseEvent &Event) {
    if (!Event.m_id.empty())
      Out.m_lastId = Event.m_id;
    if (Event.m_type == "error")
      Out.m_error = true;
    else if (Event.m_data == "[DONE]")
      Out.m_done = true;
    else if (Json Data = Json::parse(Event.m_data, nullptr, false);
             Data.is_object() && Data.contains("choices"))
      Out.m_text += Data["choices"][0].value("text", "");
    ++Events;
    return StopAfter == 0 || Events < StopAfter;
  });
  httplib::Client Http(Url);
  Http.set_connection_timeout(Seconds(2));
  Http.set_read_timeout(Timeout);
  httplib::Request Req;
  Req.method = "POST";
  Req.path = "/v1/completions";
  Req.headers = toHeaders(Sent);
  Req.body = Body;
  Req.response_handler = [&](const httplib::Response &Res) {
    takeHead(Res, Out.m_head);
    return true;
  };
  Req.content_receiver = [&](const char *Data, std::size_t Size, std::uint64_t,
                             std::uint64_t) {
    if (Out.m_head.m_status != 200) {
      Out.m_head.m_body.append(Data, Size);
      return true;
    }
    return Parser.feed({Data, Size}) == SseParser::State::Open;
  };
  auto Res = Http.send(Req);
  Out.m_head.m_received = static_cast<bool>(Res);
  return Out;
}

RawAnswer exchangeBytes(unsigned Port, const std::vector<std::string> &Parts,
                        Milliseconds Pause, Milliseconds Timeout) {
  asio::io_context Context;
  asio::ip::tcp::socket Socket(Context);
  asio::error_code Failed;
  Socket.connect(
      {asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(Port)},
      Failed);
  for (std::size_t I = 0; I < Parts.size() && !Failed; ++I) {
    if (I > 0)
      std::this_thread::sleep_for(Pause);
    asio::write(Socket, asio::buffer(Parts[I]), Failed);
  }
  // A write can fail because the other side closed after its answer.
  RawAnswer Out;
  asio::async_read(Socket, asio::dynamic_buffer(Out.m_bytes),
                   [&](const asio::error_code &Ended, std::size_t) {
                     Out.m_closed = Ended != asio::error::operation_aborted;
                     Context.stop();
                   });
  Context.run_for(Timeout);
  if (!Out.m_closed) {
    Socket.cancel(Failed);
    Context.restart();
    Context.run();
  }
  return Out;
}

unsigned portOf(const std::string &Url) {
  return static_cast<unsigned>(std::stoul(Url.substr(Url.rfind(':') + 1)));
}

std::string completionBody(const std::string &Model, const std::string &Prompt,
                           unsigned MaxTokens, bool Stream) {
  return Json{{"model", Model},
              {"prompt", Prompt},
              {"max_tokens", MaxTokens},
              {"stream", Stream}}
      .dump();
}

std::string textOf(const Answer &Whole) {
  Json Body = Json::parse(Whole.m_body, nullptr, false);
  if (!Body.is_object() || !Body.contains("choices"))
    return "";
  return Body["choices"][0].value("text", "");
}

} // namespace primroseworks::faults
