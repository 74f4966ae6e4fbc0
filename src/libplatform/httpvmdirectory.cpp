// Client of the platform's VM list over HTTP.
#include "libhttp/httpclient.h"
#include "primroseworks/platform.h"

#include <nlohmann/json.hpp>

namespace primroseworks {
namespace {

using Json = nlohmann::json;

/// One row; nothing if the platform uses a kind or a state that is not known
/// here, so that new kinds do not hide the other VMs.
std::optional<VmInfo> vmFrom(const Json &Row) {
  const auto Kind = parseName(VmKindNames, Row.at("kind").get<std::string>());
  const auto State =
      parseName(VmStateNames, Row.at("state").get<std::string>());
  if (!Kind || !State)
    return std::nullopt;
  VmInfo Vm;
  Vm.m_name = Row.at("name").get<std::string>();
  Vm.m_kind = *Kind;
  Vm.m_service = Row.value("service", "");
  Vm.m_address = Row.at("address").get<std::string>();
  Vm.m_port = Row.at("port").get<std::uint16_t>();
  Vm.m_region = Row.value("region", "");
  Vm.m_failureDomain = Row.value("failure_domain", "");
  Vm.m_state = *State;
  return Vm;
}

class HttpVmDirectory final : public VmDirectory {
public:
  HttpVmDirectory(std::unique_ptr<pvt::HttpClient> Http, Milliseconds Timeout)
      : m_http(std::move(Http)), m_timeout(Timeout) {}

  Result<std::vector<VmInfo>> list() override {
    pvt::HttpCall Call;
    Call.m_path = "/vms";
    Call.m_timeout = m_timeout;
    Call.m_silence = m_timeout;
    Call.m_repeatable = true;
    const pvt::HttpReply Reply = m_http->call(Call);
    if (Reply.m_failure == pvt::HttpFailure::NotSent)
      return makeError(ErrorKind::Unavailable,
                       "no connection to the VM list (" + Reply.m_detail +
                           "); keep the last list and try again");
    if (Reply.m_failure)
      return makeError(ErrorKind::Timeout,
                       "no answer from the VM list (" + Reply.m_detail +
                           "); keep the last list and try again");
    if (Reply.m_status != 200)
      return makeError(ErrorKind::Unavailable,
                       "the VM list answered status " +
                           std::to_string(Reply.m_status) +
                           "; keep the last list and try again");
    try {
      std::vector<VmInfo> Vms;
      for (const Json &Row : Json::parse(Reply.m_body))
        if (std::optional<VmInfo> Vm = vmFrom(Row))
          Vms.push_back(std::move(*Vm));
      return Vms;
    } catch (const Json::exception &Failure) {
      return makeError(ErrorKind::Protocol,
                       std::string("the VM list is malformed (") +
                           Failure.what() + "); check the platform's version");
    }
  }

private:
  const std::unique_ptr<pvt::HttpClient> m_http;
  const Milliseconds m_timeout;
};

} // namespace

Result<std::unique_ptr<VmDirectory>>
createHttpVmDirectory(const std::string &BaseUrl, Milliseconds CallTimeout) {
  BOOST_OUTCOME_TRY(Http, pvt::createHttpClient(BaseUrl));
  return std::unique_ptr<VmDirectory>(
      new HttpVmDirectory(std::move(Http), CallTimeout));
}

} // namespace primroseworks
