// Calls of a daemon's operator port.
#include "primrosectl/operatorclient.h"
#include "libbase/httpstatus.h"

#include <httplib.h>

namespace primroseworks::ctl {

namespace {

constexpr int ConnectSeconds = 2;
constexpr int AnswerSeconds = 15;

} // namespace

Result<Answer> call(const ClientOptions &Options, const std::string &Method,
                    const std::string &Path, const std::string &Body) {
  httplib::Client Http(Options.m_url);
  if (!Http.is_valid())
    return makeError(ErrorKind::InvalidArgument,
                     "\"" + Options.m_url +
                         "\" is not a URL; write for example --daemon "
                         "http://127.0.0.1:8081");
  Http.set_connection_timeout(ConnectSeconds);
  Http.set_read_timeout(AnswerSeconds);
  if (!Options.m_caFile.empty())
    Http.set_ca_cert_path(Options.m_caFile.c_str());
  httplib::Headers Headers = {{"Authorization", "Bearer " + Options.m_token}};
  auto Res = Method == "GET"
                 ? Http.Get(Path, Headers)
                 : Http.Post(Path, Headers, Body, "application/json");
  if (Res && pvt::isFinalStatus(static_cast<unsigned>(Res->status)))
    return Answer{Res->status, Res->body};
  const std::string Detail =
      Res ? "invalid status " + std::to_string(Res->status)
          : httplib::to_string(Res.error());
  if (Res.error() == httplib::Error::Connection ||
      Res.error() == httplib::Error::ConnectionTimeout)
    return makeError(ErrorKind::Unavailable,
                     "no daemon answers at " + Options.m_url + " (" + Detail +
                         "); check the address or name another daemon");
  return makeError(ErrorKind::Timeout,
                   "the daemon at " + Options.m_url + " gave no answer (" +
                       Detail +
                       "); check with `primrosectl status` whether "
                       "the call took effect");
}

} // namespace primroseworks::ctl
