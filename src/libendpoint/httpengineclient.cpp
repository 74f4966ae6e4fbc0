// HTTP dialect of an engine: JSON calls, and server-sent events for streams.
#include "libendpoint/engineanswers.h"
#include "libendpoint/tokenstream.h"
#include "libhttp/httpclient.h"
#include "primroseworks/engine.h"
#include "primroseworks/sse.h"

#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace primroseworks {
namespace {

using Json = nlohmann::json;

/// Bound on calls that are answered at once: reports, orders, cancels.
constexpr Milliseconds CallTimeout{2000};

/// Cancels waiting for a slow engine; more are dropped, and the engine finds
/// those streams abandoned by itself.
constexpr std::size_t MaxPendingCancels = 256;

Json bodyOf(const EngineRequest &Request) {
  Json Body = {{"request_id", Request.m_requestId},
               {"model", Request.m_model},
               {"version", Request.m_version},
               {"adapter", Request.m_adapter},
               {"prompt", Request.m_prompt},
               {"max_tokens", Request.m_maxTokens},
               {"priority", nameOf(RankNames, Request.m_priority)},
               {"resume_from", Request.m_resumeFrom}};
  if (!Request.m_resumeText.empty())
    Body["resume_text"] = Request.m_resumeText;
  return Body;
}

Json bodyOf(const EngineOrder &Order) {
  return {{"order_id", Order.m_orderId},
          {"fence", Order.m_fence},
          {"kind", nameOf(OrderKindNames, Order.m_kind)},
          {"artifact_kind", nameOf(ArtifactKindNames, Order.m_artifact.m_kind)},
          {"artifact", Order.m_artifact.m_name},
          {"version", Order.m_artifact.m_version},
          {"bytes", Order.m_bytes},
          {"role", nameOf(EngineRoleNames, Order.m_role)},
          {"peer", Order.m_peer},
          {"prefix_hash", Order.m_prefixHash}};
}

/// Text that cannot be put into JSON is the caller's error.
std::optional<std::string> encode(const Json &Body) {
  try {
    return Body.dump();
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

Error errorFrom(const pvt::HttpReply &Reply) {
  if (Reply.m_failure == pvt::HttpFailure::NotSent)
    return makeError(ErrorKind::Unavailable, "no connection to the engine (" +
                                                 Reply.m_detail +
                                                 "); try another or later");
  if (Reply.m_failure)
    return makeError(ErrorKind::Timeout, "no answer from the engine (" +
                                             Reply.m_detail +
                                             "); read its state back");
  const std::string Status = std::to_string(Reply.m_status);
  switch (Reply.m_status) {
  case 400:
    return makeError(ErrorKind::InvalidArgument,
                     "the engine rejected the call (" + Reply.m_body +
                         "); correct it");
  case 404:
    return makeError(ErrorKind::NotFound,
                     "the engine does not know the id; read its report");
  case 409:
    return makeError(ErrorKind::Conflict,
                     "the engine refused an old fencing number; read the "
                     "endpoint's record");
  case 429:
    return makeError(ErrorKind::RateLimited,
                     "the engine refused the call for its rate; back off");
  case 503:
    if (pvt::saysNotRun(Reply))
      return makeError(ErrorKind::Unavailable,
                       "the engine did not take the call; try later");
    [[fallthrough]];
  default:
    return makeError(ErrorKind::Timeout, "the engine answered status " +
                                             Status + "; read its state back");
  }
}

class HttpEngineClient final : public EngineClient {
public:
  explicit HttpEngineClient(std::unique_ptr<pvt::HttpClient> Http)
      : m_http(std::move(Http)) {}
  ~HttpEngineClient() override {
    {
      std::lock_guard<std::mutex> Lock(m_mutex);
      m_closed = true;
      m_cancels.clear();
    }
    if (m_canceller.joinable())
      m_canceller.join();
  }

  StreamResult complete(const EngineRequest &Request, const TokenSink &Sink,
                        const std::atomic<bool> &Stop) override {
    const std::optional<std::string> Body = encode(bodyOf(Request));
    if (!Body)
      return failed(StreamFailure::NotConnected,
                    "the prompt is not UTF-8 text; encode it");
    return stream("/v1/completions", *Body, Request.m_requestId,
                  Request.m_resumeFrom, Request.m_idempotencyKey, Sink, Stop);
  }

  StreamResult resume(const std::string &RequestId, unsigned From,
                      const TokenSink &Sink,
                      const std::atomic<bool> &Stop) override {
    const std::optional<std::string> Body =
        encode({{"request_id", RequestId}, {"from", From}});
    if (!Body)
      return failed(StreamFailure::Refused, "the id is not UTF-8 text");
    return stream("/resume", *Body, RequestId, From, "", Sink, Stop);
  }

  Result<void> cancel(const std::string &RequestId) override {
    BOOST_OUTCOME_TRYV(
        ask("POST", "/cancel", {{"request_id", RequestId}}, true));
    return boost::outcome_v2::success();
  }

  Result<LoadReport> report() override {
    BOOST_OUTCOME_TRY(Body, ask("GET", "/report", nullptr, true));
    return pvt::readReport(Body);
  }

  Result<std::vector<CacheEvent>> cacheEvents(std::uint64_t After) override {
    BOOST_OUTCOME_TRY(Body,
                      ask("GET", "/cache-events?after=" + std::to_string(After),
                          nullptr, true));
    return pvt::readCacheEvents(Body);
  }

  Result<OrderState> sendOrder(const EngineOrder &Order) override {
    BOOST_OUTCOME_TRY(Body, ask("POST", "/orders", bodyOf(Order), false));
    return pvt::readOrderState(Body);
  }

  Result<OrderState> orderState(const std::string &OrderId) override {
    auto Body = ask("GET", "/orders/" + OrderId, nullptr, true);
    if (!Body && Body.error().m_kind == ErrorKind::NotFound)
      return OrderState::Unknown;
    if (!Body)
      return Body.error();
    return pvt::readOrderState(Body.value());
  }

private:
  static StreamResult failed(StreamFailure Failure, std::string Detail) {
    StreamResult Result;
    Result.m_failure = Failure;
    Result.m_detail = std::move(Detail);
    return Result;
  }

  StreamResult stream(const std::string &Path, const std::string &Body,
                      const std::string &RequestId, unsigned From,
                      const std::string &Key, const TokenSink &Sink,
                      const std::atomic<bool> &Stop) {
    // A stream has a connection of its own: when it breaks, the cause is never
    // a connection that the engine had already given up.
    pvt::HttpCall Call;
    Call.m_method = "POST";
    Call.m_path = Path;
    Call.m_body = Body;
    Call.m_silence = EngineSilenceTimeout;
    Call.m_headers.emplace_back("Accept", "text/event-stream");
    if (!Key.empty())
      Call.m_headers.emplace_back("Idempotency-Key", Key);
    pvt::TokenStream Tokens(RequestId, From, Sink);
    SseParser Parser(
        [&Tokens](const SseEvent &Event) { return Tokens.onEvent(Event); });
    const pvt::HttpReply Reply = m_http->call(
        Call,
        [&](std::string_view Piece) {
          return !Stop.load() && Parser.feed(Piece) == SseParser::State::Open;
        },
        &Stop);
    StreamResult Result = conclude(Reply, Tokens, Parser, Stop);
    if (Result.m_failure == StreamFailure::Cancelled)
      cancelLater(RequestId);
    return Result;
  }

  static StreamResult conclude(const pvt::HttpReply &Reply,
                               const pvt::TokenStream &Tokens,
                               const SseParser &Parser,
                               const std::atomic<bool> &Stop) {
    if (Reply.m_failure == pvt::HttpFailure::NotSent)
      return failed(StreamFailure::NotConnected, Reply.m_detail);
    if (!Reply.m_failure && Reply.m_status != 200)
      return failed(pvt::saysNotRun(Reply) ? StreamFailure::Refused
                                           : StreamFailure::Invalid,
                    "status " + std::to_string(Reply.m_status) + ": " +
                        Reply.m_body.substr(0, 200));
    if (!Tokens.ended() && Parser.state() == SseParser::State::TooLarge)
      return Tokens.finish(StreamFailure::Invalid, "an event is too large");
    if (!Tokens.ended() && Stop.load())
      return Tokens.finish(StreamFailure::Cancelled, "stopped");
    return Tokens.finish(StreamFailure::Broken,
                         Reply.m_failure
                             ? "the connection broke or went silent (" +
                                   Reply.m_detail + ")"
                             : "the stream ended without an end event");
  }

  /// The body of a good answer.
  Result<std::string> ask(const std::string &Method, const std::string &Path,
                          const Json &Body, bool Repeatable) {
    pvt::HttpCall Call;
    Call.m_method = Method;
    Call.m_path = Path;
    if (!Body.is_null()) {
      const std::optional<std::string> Text = encode(Body);
      if (!Text)
        return makeError(ErrorKind::InvalidArgument,
                         "a name is not UTF-8 text; correct it");
      Call.m_body = *Text;
    }
    Call.m_timeout = CallTimeout;
    Call.m_silence = CallTimeout;
    Call.m_repeatable = Repeatable;
    const pvt::HttpReply Reply = m_http->call(Call);
    if (Reply.m_failure || Reply.m_status < 200 || Reply.m_status > 299)
      return errorFrom(Reply);
    return Reply.m_body;
  }

  /// Cancels on another thread, because a silent engine would hold up a caller
  /// that must return at once. The thread ends when nothing is left.
  void cancelLater(const std::string &RequestId) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (m_closed || m_cancels.size() >= MaxPendingCancels)
      return;
    m_cancels.push_back(RequestId);
    if (m_cancelling)
      return;
    if (m_canceller.joinable())
      m_canceller.join(); // It has left its loop and takes no lock any more.
    m_cancelling = true;
    m_canceller = std::thread([this] { sendCancels(); });
  }

  void sendCancels() {
    for (;;) {
      std::string RequestId;
      {
        std::lock_guard<std::mutex> Lock(m_mutex);
        if (m_cancels.empty()) {
          m_cancelling = false;
          return;
        }
        RequestId = std::move(m_cancels.front());
        m_cancels.pop_front();
      }
      // An engine that does not answer finds the stream abandoned by itself.
      static_cast<void>(cancel(RequestId));
    }
  }

  const std::unique_ptr<pvt::HttpClient> m_http;
  std::mutex m_mutex; ///< Guards the members below.
  std::deque<std::string> m_cancels;
  bool m_cancelling = false;
  bool m_closed = false;
  std::thread m_canceller;
};

} // namespace

Result<std::unique_ptr<EngineClient>>
createHttpEngineClient(const std::string &BaseUrl) {
  BOOST_OUTCOME_TRY(Http, pvt::createHttpClient(BaseUrl));
  return std::unique_ptr<EngineClient>(new HttpEngineClient(std::move(Http)));
}

} // namespace primroseworks
