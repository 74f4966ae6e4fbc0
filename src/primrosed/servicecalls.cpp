// Forwards calls to plain services.
#include "primrosed/servicecalls.h"

#include "primroseworks/hash.h"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace primroseworks {

namespace {

// Headers of the caller that a service gets; the rest belongs to the
// connection or to this system.
constexpr const char *ForwardedHeaders[] = {"Content-Type", "Accept",
                                            "Accept-Language"};

struct ServicePath {
  std::string m_name;
  std::string m_rest; ///< Starts with '/', with the query.
};

ServicePath splitPath(const std::string &Target) {
  const std::size_t Start = std::string("/v1/services/").size();
  std::size_t End = Target.find_first_of("/?", Start);
  if (End == std::string::npos)
    return {Target.substr(Start), "/"};
  std::string Rest = Target.substr(End);
  return {Target.substr(Start, End - Start),
          Rest[0] == '/' ? Rest : "/" + Rest};
}

Failure failure(Outcome Told, int Status, const char *Code,
                const std::string &Message) {
  Failure Out;
  Out.m_outcome = Told;
  Out.m_status = Status;
  Out.m_code = Code;
  Out.m_message = Message;
  Out.m_retryAfter = Milliseconds(1000);
  return Out;
}

} // namespace

bool isRepeatable(const ServiceSpec &Service, const std::string &Method,
                  const std::string &Path) {
  for (const ServiceRoute &Route : Service.m_routes)
    if ((Route.m_method.empty() || Route.m_method == Method) &&
        Path.compare(0, Route.m_pathPrefix.size(), Route.m_pathPrefix) == 0)
      return Route.m_repeatable;
  return Method == "GET" || Method == "HEAD";
}

/// A call to forward, with what its service allows.
struct ServiceCalls::Forward {
  ServiceRequest m_request;
  std::string m_service;
  Milliseconds m_timeout;
  bool m_repeatable = false;
  std::uint64_t m_revision = 0;
};

KeyedResult ServiceCalls::forward(const Forward &Call,
                                  const BeforeSend &Claim) {
  KeyedResult Out;
  Out.m_failure = failure(Outcome::NotRun, 503, "no_endpoint",
                          "no instance of the service can be reached; send it "
                          "again later");
  for (const ServiceInstance &Instance :
       m_fleet.instances(Call.m_service, m_context.m_settings.m_region)) {
    if (Instance.m_vm.m_state == VmState::Leaving)
      break;
    if (Claim) {
      auto Forbidden = Claim(Call.m_request.m_requestId, Instance.m_vm.m_name);
      if (Forbidden) {
        Out.m_failure = Forbidden;
        return Out;
      }
    }
    spdlog::info("event=route request={} service={} endpoint={} "
                 "reason=nearest revision={}",
                 Call.m_request.m_requestId, Call.m_service,
                 Instance.m_vm.m_name, Call.m_revision);
    ServiceResult Result =
        Instance.m_client->call(Call.m_request, Call.m_timeout);
    if (Result.m_response) {
      Out.m_failure.reset();
      Out.m_answer = JournalResult{Result.m_response->m_status,
                                   Result.m_response->m_contentType,
                                   Result.m_response->m_body};
      return Out;
    }
    spdlog::info("event=attempt_failed request={} endpoint={} detail=\"{}\"",
                 Call.m_request.m_requestId, Instance.m_vm.m_name,
                 Result.m_detail);
    if (*Result.m_failure != CallFailure::Unknown)
      continue;
    Out.m_failure =
        failure(Outcome::Unknown, 504, "no_answer",
                "the service gave no answer and may have run the call; ask "
                "the service before sending it again");
    if (!Call.m_repeatable)
      return Out;
  }
  return Out;
}

void ServiceCalls::call(const HttpRequest &Req, const std::string &RequestId,
                        const std::string &Key, HttpResponse &Res) {
  ServicePath Path = splitPath(Req.m_target);
  auto Config = m_context.m_catalog.get();
  auto Service = Config->m_services.find(Path.m_name);
  if (Service == Config->m_services.end()) {
    answerFailure(
        failure(Outcome::NotRun, 404, "service_not_found",
                "no service is called \"" + Path.m_name + "\"; check the path"),
        Res);
    return;
  }
  bool Repeatable = isRepeatable(Service->second, Req.m_method, Path.m_rest);
  // Without a key, the caller's own request id tells a retry from a new call.
  std::string Identity = Key;
  if (Identity.empty() && !Repeatable)
    Identity = Req.header("X-Request-Id");
  Forward Call;
  Call.m_service = Path.m_name;
  Call.m_timeout = Service->second.m_timeout;
  Call.m_repeatable = Repeatable && Key.empty();
  Call.m_revision = Config->m_revision;
  Call.m_request.m_method = Req.m_method;
  Call.m_request.m_path = Path.m_rest;
  Call.m_request.m_body = Req.m_body;
  Call.m_request.m_requestId = RequestId;
  Call.m_request.m_idempotencyKey = Key;
  for (const char *Name : ForwardedHeaders)
    if (!Req.header(Name).empty())
      Call.m_request.m_headers.emplace_back(Name, Req.header(Name));
  KeyedResult Result;
  if (Identity.empty()) {
    Result = forward(Call, nullptr);
  } else {
    KeyedWork Work;
    Work.m_run = [&](const BeforeSend &Claim) { return forward(Call, Claim); };
    // Keys of services and of completions are separate.
    std::string Hash =
        hash::text(Req.m_method + "\n" + Req.m_target + "\n" + Req.m_body);
    Result = m_keys.runOnce({Path.m_name + "/" + Identity, Hash}, Work);
  }
  if (!Result.m_answer) {
    answerFailure(*Result.m_failure, Res);
    return;
  }
  Res.m_status = Result.m_answer->m_status;
  Res.m_contentType = Result.m_answer->m_contentType;
  Res.m_body = Result.m_answer->m_body;
  setOutcome(Outcome::Ran, RequestId, Res);
}

} // namespace primroseworks
