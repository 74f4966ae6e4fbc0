// Messages of the quotas between gateways, as CBOR datagrams. Every message may
// be lost or repeated; see libquota/quotatypes.h for what each of them means.
#ifndef PRIMROSEWORKS_LIBGATEWAY_QUOTAMESSAGE_H
#define PRIMROSEWORKS_LIBGATEWAY_QUOTAMESSAGE_H

#include "libquota/quotatypes.h"
#include "primroseworks/error.h"

#include <string>

namespace primroseworks::gateway {

using quota::QuotaMessage;

std::string encodeQuotaMessage(const QuotaMessage &Message);
/// Fails with Protocol if Bytes is not a valid message.
Result<QuotaMessage> decodeQuotaMessage(const std::string &Bytes);
/// Whether a datagram is a message of the quotas.
bool isQuotaMessage(const std::string &Bytes);

} // namespace primroseworks::gateway

#endif
