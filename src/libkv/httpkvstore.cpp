// Client of the HTTP form of the key-value service.
#include "libhttp/httpclient.h"
#include "primroseworks/kvstore.h"

#include <nlohmann/json.hpp>

namespace primroseworks {
namespace {

using Json = nlohmann::json;

/// Statuses with a meaning of their own in this protocol.
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusRateLimited = 429;
constexpr int StatusUnavailable = 503;

enum class Repeat { Safe, Unsafe };

KvEntry entryFrom(const Json &From) {
  return {From.at("key").get<std::string>(),
          From.at("value").get<std::string>(),
          From.at("revision").get<std::uint64_t>()};
}

KvEvent eventFrom(const Json &From) {
  KvEvent Event;
  Event.m_key = From.at("key").get<std::string>();
  if (!From.at("value").is_null())
    Event.m_value = From.at("value").get<std::string>();
  Event.m_revision = From.at("revision").get<std::uint64_t>();
  return Event;
}

/// A status that carries no result, as an error.
Error errorFrom(const pvt::HttpReply &Reply) {
  const std::string Status = std::to_string(Reply.m_status);
  switch (Reply.m_status) {
  case StatusNotFound:
    return makeError(
        ErrorKind::NotFound,
        "the store does not know the lease or key; obtain it anew");
  case StatusRateLimited:
    return makeError(ErrorKind::RateLimited,
                     "the store refused the call for its rate; back off");
  case StatusUnavailable:
    return makeError(ErrorKind::Unavailable,
                     "the store is not in service; back off and try again");
  case 400:
  case 413:
    return makeError(ErrorKind::InvalidArgument,
                     "the store rejected the call with status " + Status +
                         "; correct the key or the value");
  default:
    // A gateway or server error does not say whether a write took effect.
    return makeError(ErrorKind::Timeout, "the store answered status " + Status +
                                             "; read the key back");
  }
}

class HttpKvStore final : public KvStore {
public:
  HttpKvStore(std::unique_ptr<pvt::HttpClient> Http, Milliseconds Timeout)
      : m_http(std::move(Http)), m_timeout(Timeout) {}

  Result<std::optional<KvEntry>> get(const std::string &Key) override {
    return ask<std::optional<KvEntry>>(
        "/kv/get", {{"key", Key}}, Repeat::Safe, m_timeout,
        [](int Status, const Json &Body) {
          std::optional<KvEntry> Entry;
          if (Status == StatusOk && !Body.at("entry").is_null())
            Entry = entryFrom(Body.at("entry"));
          return Entry;
        });
  }

  Result<CasResult> compareAndSwap(const std::string &Key,
                                   std::uint64_t Expected,
                                   const std::optional<std::string> &Value,
                                   std::optional<LeaseId> Lease) override {
    if (Value && Value->size() > MaxKvValueBytes)
      return makeError(ErrorKind::InvalidArgument,
                       "the value of '" + Key +
                           "' is larger than 1 MB; split it");
    Json Body = {{"key", Key}, {"expected", Expected}, {"value", nullptr}};
    if (Value)
      Body["value"] = *Value;
    if (Lease)
      Body["lease"] = *Lease;
    return ask<CasResult>("/kv/cas", Body, Repeat::Unsafe, m_timeout,
                          [](int Status, const Json &Answer) {
                            CasResult Out;
                            Out.m_applied = Status == StatusOk;
                            if (Out.m_applied)
                              Out.m_revision =
                                  Answer.at("revision").get<std::uint64_t>();
                            else if (!Answer.at("current").is_null())
                              Out.m_current = entryFrom(Answer.at("current"));
                            return Out;
                          });
  }

  Result<RangeResult> range(const std::string &Prefix) override {
    return ask<RangeResult>("/kv/range", {{"prefix", Prefix}}, Repeat::Safe,
                            m_timeout, [](int, const Json &Body) {
                              RangeResult Out;
                              for (const Json &Row : Body.at("entries"))
                                Out.m_entries.push_back(entryFrom(Row));
                              Out.m_revision =
                                  Body.at("revision").get<std::uint64_t>();
                              return Out;
                            });
  }

  Result<WatchResult> watch(const std::string &Prefix, std::uint64_t After,
                            Milliseconds Wait) override {
    return ask<WatchResult>(
        "/kv/watch",
        {{"prefix", Prefix}, {"after", After}, {"wait_ms", Wait.count()}},
        Repeat::Safe, m_timeout + Wait, [](int, const Json &Body) {
          WatchResult Out;
          for (const Json &Row : Body.at("events"))
            Out.m_events.push_back(eventFrom(Row));
          Out.m_revision = Body.at("revision").get<std::uint64_t>();
          return Out;
        });
  }

  Result<LeaseId> grantLease(Milliseconds Ttl) override {
    return ask<LeaseId>(
        "/lease/grant", {{"ttl_ms", Ttl.count()}}, Repeat::Unsafe, m_timeout,
        [](int, const Json &Body) { return Body.at("lease").get<LeaseId>(); });
  }

  Result<void> renewLease(LeaseId Lease) override {
    return tell("/lease/renew", Lease);
  }

  Result<void> revokeLease(LeaseId Lease) override {
    return tell("/lease/revoke", Lease);
  }

private:
  /// Sends one call. Writes use a connection of their own: the failure of a
  /// stale pooled one would cost a read-back.
  Result<pvt::HttpReply> send(const std::string &Path, const Json &Body,
                              Repeat Mode, Milliseconds Timeout) {
    pvt::HttpCall Call;
    Call.m_method = "POST";
    Call.m_path = Path;
    try {
      Call.m_body = Body.dump();
    } catch (const Json::exception &) {
      return makeError(ErrorKind::InvalidArgument,
                       "the key or the value is not UTF-8 text; encode it");
    }
    Call.m_timeout = Timeout;
    Call.m_silence = Timeout;
    Call.m_repeatable = Mode == Repeat::Safe;
    pvt::HttpReply Reply = m_http->call(Call);
    if (!Reply.m_failure)
      return Reply;
    if (*Reply.m_failure == pvt::HttpFailure::NotSent)
      return makeError(ErrorKind::Unavailable, "no connection to the store (" +
                                                   Reply.m_detail +
                                                   "); back off and try again");
    return makeError(ErrorKind::Timeout,
                     "no answer from the store (" + Reply.m_detail +
                         "); a write is settled by reading back");
  }

  template <class T, class Decode>
  Result<T> ask(const std::string &Path, const Json &Body, Repeat Mode,
                Milliseconds Timeout, Decode &&Make) {
    try {
      BOOST_OUTCOME_TRY(Reply, send(Path, Body, Mode, Timeout));
      const bool Conflict =
          Reply.m_status == StatusConflict && Path == "/kv/cas";
      if (Reply.m_status != StatusOk && !Conflict)
        return errorFrom(Reply);
      return Make(Reply.m_status, Json::parse(Reply.m_body));
    } catch (const Json::exception &Failure) {
      return makeError(ErrorKind::Protocol,
                       std::string("the store's answer is malformed (") +
                           Failure.what() + "); check the store's version");
    }
  }

  Result<void> tell(const std::string &Path, LeaseId Lease) {
    BOOST_OUTCOME_TRY(Reply,
                      send(Path, {{"lease", Lease}}, Repeat::Safe, m_timeout));
    if (Reply.m_status != StatusOk)
      return errorFrom(Reply);
    return boost::outcome_v2::success();
  }

  const std::unique_ptr<pvt::HttpClient> m_http;
  const Milliseconds m_timeout;
};

} // namespace

Result<std::unique_ptr<KvStore>> createHttpKvStore(const std::string &BaseUrl,
                                                   Milliseconds CallTimeout) {
  BOOST_OUTCOME_TRY(Http, pvt::createHttpClient(BaseUrl));
  return std::unique_ptr<KvStore>(
      new HttpKvStore(std::move(Http), CallTimeout));
}

} // namespace primroseworks
