// Which statuses an HTTP response may have.
#ifndef PRIMROSEWORKS_LIBBASE_HTTPSTATUS_H
#define PRIMROSEWORKS_LIBBASE_HTTPSTATUS_H

namespace primroseworks::pvt {

/// Whether a response with this status precedes the final one.
constexpr bool isInterimStatus(unsigned Status) {
  return Status >= 100 && Status <= 199;
}

/// Whether a response with this status answers a request. Any other status that
/// ends an exchange is a broken response: the request may have run.
constexpr bool isFinalStatus(unsigned Status) {
  return Status >= 200 && Status <= 599;
}

} // namespace primroseworks::pvt

#endif
