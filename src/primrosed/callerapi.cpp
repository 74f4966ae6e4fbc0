// The port for callers.
#include "primrosed/callerapi.h"

#include "primroseworks/hash.h"
#include "primroseworks/prompt.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>
#include <thread>

namespace primroseworks {

namespace {

using Json = nlohmann::json;

// A caller that lost its connection may come back for the rest of its stream;
// until then the engine goes on.
constexpr Seconds ReconnectGrace{30};

// Comment lines keep idle connections open on the way to the caller.
constexpr Milliseconds CommentInterval{5000};

constexpr Milliseconds DrainPoll{20};

const std::string ServicePrefix = "/v1/services/";

TimePoint now() { return std::chrono::steady_clock::now(); }

Failure badRequest(int Status, std::string Code, std::string Message) {
  Failure Out;
  Out.m_status = Status;
  Out.m_code = std::move(Code);
  Out.m_message = std::move(Message);
  Out.m_retryAfter = Milliseconds(1000);
  return Out;
}

/// A request with a key that is refused before the journal is asked: an earlier
/// attempt with the key may have run, so it is not told `not-run`.
Failure refusedUnseen(const HttpRequest &Req, std::string Code,
                      std::string Message) {
  Failure Out = badRequest(503, std::move(Code), std::move(Message));
  bool Service =
      Req.m_path.compare(0, ServicePrefix.size(), ServicePrefix) == 0;
  if (!Req.header("Idempotency-Key").empty() ||
      (Service && !Req.header("X-Request-Id").empty()))
    Out.m_outcome = Outcome::Unknown;
  return Out;
}

/// Version for a request: during a rollout a share of requests, chosen by
/// their id, gets the next one.
std::string versionFor(const ModelSpec &Model, const std::string &RequestId) {
  if (Model.m_nextVersion.empty())
    return Model.m_version;
  double Draw = static_cast<double>(hash::number(RequestId) % 10000) / 10000.0;
  return Draw < Model.m_rolloutShare ? Model.m_nextVersion : Model.m_version;
}

/// Sets model, version and adapter of a job; false if the name is unknown.
bool resolveModel(const Catalog &Config, CompletionJob &Job) {
  std::string Base = Job.m_request.m_model;
  auto Adapter = Config.m_adapters.find(Base);
  if (Adapter != Config.m_adapters.end()) {
    Job.m_adapter = Adapter->first;
    Base = Adapter->second.m_base;
  }
  auto Model = Config.m_models.find(Base);
  if (Model == Config.m_models.end())
    return false;
  Job.m_model = Base;
  Job.m_version = versionFor(Model->second, Job.m_requestId);
  return true;
}

} // namespace

CallerApi::CallerApi(DaemonContext &Context, CompletionRunner &Runner,
                     ServiceCalls &Services, Idempotency &Keys,
                     Metrics &Counters)
    : m_context(Context), m_runner(Runner), m_services(Services), m_keys(Keys),
      m_metrics(Counters),
      // Streams whose caller has left go on for a while, so there can be more
      // of them than connections.
      m_workers(4 * Context.m_settings.m_maxConnections, 0) {}

Result<void> CallerApi::start() {
  const Settings &S = m_context.m_settings;
  HttpServerOptions Options;
  Options.m_address = S.m_callerListen.m_host;
  Options.m_port = S.m_callerListen.m_port;
  Options.m_maxConnections = S.m_maxConnections;
  Options.m_maxBodyBytes = S.m_maxBodyBytes;
  Options.m_certificateFile = S.m_callerCertificate;
  Options.m_keyFile = S.m_callerKey;
  Options.m_onOverload = [](const HttpRequest &Req, HttpResponse &Res) {
    answerFailure(
        refusedUnseen(Req, "too_many_connections",
                      "too many connections are open; try again later "
                      "or through another VM"),
        Res);
  };
  Options.m_onProtocolError = [](const HttpRequest &, HttpResponse &Res) {
    answerFailure(badRequest(Res.m_status, "bad_request",
                             Res.m_status == 413
                                 ? "the body is over the limit; send less"
                                 : "the request cannot be understood; check "
                                   "its method, path and headers"),
                  Res);
  };
  BOOST_OUTCOME_TRY(Server,
                    createHttpServer(Options, [this](const HttpRequest &Req,
                                                     HttpResponse &Res) {
                      handle(Req, Res);
                    }));
  m_server = std::move(Server);
  return boost::outcome_v2::success();
}

void CallerApi::stop(Milliseconds Wait) {
  const TimePoint End = now() + Wait;
  while (m_inProgress.use_count() > 1 && now() < End)
    std::this_thread::sleep_for(DrainPoll);
  m_server->stop();
  m_workers.shutdown();
}

void CallerApi::handle(const HttpRequest &Req, HttpResponse &Res) {
  auto Config = m_context.m_catalog.get();
  if (Req.m_path == "/healthz" || Req.m_path == "/readyz") {
    bool Good = m_context.ready() || Req.m_path == "/healthz";
    Res.m_status = Good ? 200 : 503;
    Res.m_body = Good ? R"({"status":"ok"})" : R"({"status":"not ready"})";
    Res.m_headers["X-Primrose-Outcome"] =
        std::string(nameOf(OutcomeNames, Outcome::Ran));
    return;
  }
  const TimePoint Start = now();
  // Taken before the draining flag is read, so that a request that passes it is
  // waited for.
  std::shared_ptr<int> InProgress = m_inProgress;
  CallerIdentity Who;
  if (m_context.m_draining) {
    answerFailure(
        refusedUnseen(Req, "draining",
                      "this VM is stopping; send it again, the balancer "
                      "chooses another"),
        Res);
  } else if (!Config) {
    answerFailure(refusedUnseen(Req, "no_configuration",
                                "no configuration is in force yet; try again "
                                "later"),
                  Res);
  } else if (auto Parsed = readHeaders(Req, *Config, Start); !Parsed) {
    answerFailure(badRequest(400, "bad_header", Parsed.error().m_message), Res);
  } else {
    Who = std::move(Parsed.value());
    if (Who.m_requestId.empty())
      Who.m_requestId =
          fmt::format("r{:x}-{}", m_context.m_processId.load(), ++m_requests);
    Res.m_headers["X-Request-Id"] = Who.m_requestId;
    route(Req, Who, Res);
  }
  auto Told = parseName(OutcomeNames, Res.m_headers["X-Primrose-Outcome"]);
  m_metrics.answered(Who.m_rank, Told.value_or(Outcome::Unknown), Res.m_status,
                     toSeconds(now() - Start));
}

void CallerApi::route(const HttpRequest &Req, const CallerIdentity &Who,
                      HttpResponse &Res) {
  bool Post = Req.m_method == "POST";
  if (Post && Req.m_path == "/v1/completions")
    completions(openai::Form::Text, Req, Who, Res);
  else if (Post && Req.m_path == "/v1/chat/completions")
    completions(openai::Form::Chat, Req, Who, Res);
  else if (Req.m_method == "GET" && Req.m_path == "/v1/models")
    listModels(Res);
  else if (Req.m_path.compare(0, ServicePrefix.size(), ServicePrefix) == 0)
    m_services.call(Req, Who.m_requestId, Who.m_key, Res);
  else
    answerFailure(badRequest(404, "not_found",
                             "no such path; use /v1/completions, "
                             "/v1/chat/completions, /v1/models or "
                             "/v1/services/NAME/..."),
                  Res);
}

void CallerApi::completions(openai::Form Form, const HttpRequest &Req,
                            const CallerIdentity &Who, HttpResponse &Res) {
  auto Parsed = openai::parseRequest(Form, Req.m_body);
  if (!Parsed) {
    answerFailure(badRequest(400, "bad_request", Parsed.error().m_message),
                  Res);
    return;
  }
  CompletionJob Job;
  Job.m_requestId = Who.m_requestId;
  Job.m_caller = Who.m_caller;
  Job.m_rank = Who.m_rank;
  Job.m_deadline = Who.m_deadline;
  Job.m_request = std::move(Parsed.value());
  Job.m_key = Who.m_key;
  const openai::CompletionRequest &R = Job.m_request;
  Job.m_bodyHash = hash::text(
      fmt::format("{}\n{}\n{}", R.m_model, R.m_maxTokens, R.m_prompt));
  if (!resolveModel(*m_context.m_catalog.get(), Job)) {
    answerFailure(badRequest(404, "model_not_found",
                             "no model or adapter is called \"" + R.m_model +
                                 "\"; GET /v1/models lists them"),
                  Res);
    return;
  }
  const std::string &LastEventId = Req.header("Last-Event-ID");
  if (R.m_stream || !LastEventId.empty())
    streamed(Job, LastEventId, Res);
  else
    whole(Job, Res);
}

namespace {

openai::AnswerInfo infoOf(const CompletionJob &Job, const StreamEnd &End) {
  openai::AnswerInfo Info;
  Info.m_form = Job.m_request.m_form;
  Info.m_id = Job.m_requestId;
  Info.m_model = Job.m_request.m_model;
  Info.m_finishReason = End.m_finishReason;
  Info.m_promptTokens = End.m_promptTokens;
  Info.m_completionTokens = End.m_tokens;
  Info.m_created = std::chrono::duration_cast<Seconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  return Info;
}

std::string sse(const std::string &Id, const std::string &Data) {
  return Id.empty() ? "data: " + Data + "\n\n"
                    : "id: " + Id + "\ndata: " + Data + "\n\n";
}

} // namespace

CompletionResult CallerApi::execute(const CompletionJob &Job,
                                    const EventSink &Sink,
                                    const std::atomic<bool> &Abandon) {
  if (m_observe)
    m_observe(Job);
  if (Job.m_key.empty())
    return m_runner.run(Job, Sink, Abandon);
  return runKeyed(m_keys, m_runner, Job, Sink, Abandon);
}

void CallerApi::whole(const CompletionJob &Job, HttpResponse &Res) {
  std::atomic<bool> Never{false};
  auto Ignore = [](const std::string &, const std::string &) {};
  CompletionResult Result = execute(Job, Ignore, Never);
  m_metrics.tokens(Job.m_rank, Result.m_end.m_tokens);
  if (Result.m_failure) {
    answerFailure(*Result.m_failure, Res);
    return;
  }
  Res.m_body = openai::wholeBody(infoOf(Job, Result.m_end), Result.m_text);
  setOutcome(Outcome::Ran, Job.m_requestId, Res);
}

void CallerApi::startStream(const CompletionJob &Job,
                            std::optional<StreamPosition> From,
                            const std::shared_ptr<StreamPipe> &Pipe) {
  m_workers.submit([this, Job, From = std::move(From), Pipe] {
    auto Push = [&](const std::string &Id, const std::string &Text) {
      Pipe->push({Id, Text});
    };
    CompletionResult Result =
        From ? m_runner.resume(*From, Push, Pipe->m_abandon)
             : execute(Job, Push, Pipe->m_abandon);
    m_metrics.tokens(Job.m_rank, Result.m_end.m_tokens);
    Pipe->finish(std::move(Result));
  });
}

void CallerApi::streamed(const CompletionJob &Job,
                         const std::string &LastEventId, HttpResponse &Res) {
  std::optional<StreamPosition> From;
  if (!LastEventId.empty()) {
    From = parseEventId(LastEventId);
    if (!From) {
      answerFailure(badRequest(400, "bad_header",
                               "Last-Event-ID is not an id of this system; "
                               "send the id of the last event received"),
                    Res);
      return;
    }
  }
  auto Pipe = std::make_shared<StreamPipe>();
  startStream(Job, std::move(From), Pipe);
  Pipe->waitForStart();
  if (Pipe->endedEmpty() && Pipe->result().m_failure) {
    answerFailure(*Pipe->result().m_failure, Res);
    return;
  }
  // The first token has been produced, so the request ran; an answer that
  // does not reach its end says so in an error event.
  setOutcome(Outcome::Ran, Job.m_requestId, Res);
  Res.m_contentType = "text/event-stream";
  Res.m_headers["Cache-Control"] = "no-store";
  Res.m_stream = [Pipe, InProgress = m_inProgress, Info = infoOf(Job, {}),
                  Usage = Job.m_request.m_includeUsage](HttpStream &Out) {
    return writeStream(*Pipe, Info, Usage, Out);
  };
}

bool CallerApi::writeStream(StreamPipe &Pipe, const openai::AnswerInfo &Info,
                            bool IncludeUsage, HttpStream &Out) {
  bool First = true;
  bool Connected = true;
  std::optional<TimePoint> Left;
  std::deque<StreamPiece> Pieces;
  while (Pipe.take(Pieces, CommentInterval)) {
    std::string Data;
    for (const StreamPiece &Piece : Pieces) {
      Data +=
          sse(Piece.m_eventId, openai::chunkData(Info, Piece.m_text, First));
      First = false;
    }
    Pieces.clear();
    if (Data.empty())
      Data = ": waiting\n\n";
    Connected = Connected && Out.write(Data);
    if (Connected)
      continue;
    if (!Left)
      Left = now();
    if (now() - *Left > ReconnectGrace)
      Pipe.m_abandon = true;
  }
  if (!Connected)
    return false;
  const CompletionResult &Result = Pipe.result();
  if (Result.m_failure) {
    const Failure &Why = *Result.m_failure;
    Out.write(
        "event: error\n" +
        sse("", openai::errorBody(Why.m_message, "server_error", Why.m_code)));
    return true;
  }
  openai::AnswerInfo End = Info;
  End.m_finishReason = Result.m_end.m_finishReason;
  End.m_promptTokens = Result.m_end.m_promptTokens;
  End.m_completionTokens = Result.m_end.m_tokens;
  return Out.write(sse("", openai::finalChunkData(End, IncludeUsage)) +
                   sse("", "[DONE]"));
}

void CallerApi::listModels(HttpResponse &Res) {
  auto Config = m_context.m_catalog.get();
  Json Data = Json::array();
  for (const auto &[Name, Model] : Config->m_models)
    Data.push_back({{"id", Name},
                    {"object", "model"},
                    {"created", 0},
                    {"owned_by", Config->m_deployment}});
  for (const auto &[Name, Adapter] : Config->m_adapters)
    Data.push_back({{"id", Name},
                    {"object", "model"},
                    {"created", 0},
                    {"owned_by", Config->m_deployment},
                    {"parent", Adapter.m_base}});
  Res.m_body = Json{{"object", "list"}, {"data", Data}}.dump();
  setOutcome(Outcome::Ran, Res.m_headers["X-Request-Id"], Res);
}

} // namespace primroseworks
