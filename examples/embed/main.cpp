// Embeds the coordination parts: a lease, the owner of an endpoint, and a
// request that runs at most once, against the in-memory key-value store.
#include "primroseworks/journal.h"
#include "primroseworks/lease.h"
#include "primroseworks/memorykvstore.h"
#include "primroseworks/ownership.h"

#include <iostream>

using namespace primroseworks;

namespace {

constexpr Milliseconds Wait{2000};

int fail(const Error &Why) {
  std::cerr << "embed: " << Why.m_message << "\n";
  return 1;
}

} // namespace

int main() {
  auto Made = MemoryKvStore::create({});
  if (!Made)
    return fail(Made.error());
  KvStore &Store = *Made.value();
  const TimePoint Now = std::chrono::steady_clock::now();

  LeaseOptions Options;
  Options.m_member.m_name = "worker-1";
  Options.m_member.m_region = "north";
  auto Lease = createLeaseHolder(Store, Options);
  if (!Lease)
    return fail(Lease.error());
  auto Acquired = Lease.value()->step(Now);
  if (!Acquired)
    return fail(Acquired.error());
  std::cout << "incarnation " << Lease.value()->incarnation() << "\n";

  std::cout << "engine-1 belongs to "
            << rendezvousOwner("endpoint/engine-1", {"worker-1", "worker-2"})
            << "\n";

  JournalOptions Shard;
  Shard.m_owner = "worker-1";
  Shard.m_incarnation = Lease.value()->incarnation();
  auto Log = openJournalShard(Store, Shard);
  if (!Log)
    return fail(Log.error());
  JournalClaim Claim;
  Claim.m_key = "certificate-17";
  Claim.m_bodyHash = "body";
  Claim.m_requestId = "attempt-1";
  Claim.m_member = "worker-1";
  Claim.m_incarnation = Shard.m_incarnation;
  auto First = Log.value()->claim(Claim, Wait);
  if (!First)
    return fail(First.error());
  std::cout << "first attempt: "
            << nameOf(ClaimOutcomeNames, First.value().m_outcome) << "\n";
  auto Recorded = Log.value()->result(Claim, {200, "text/plain", "done"}, Wait);
  if (!Recorded)
    return fail(Recorded.error());
  Claim.m_requestId = "attempt-2";
  auto Second = Log.value()->claim(Claim, Wait);
  if (!Second)
    return fail(Second.error());
  std::cout << "second attempt: "
            << nameOf(ClaimOutcomeNames, Second.value().m_outcome) << ", "
            << Second.value().m_result->m_body << "\n";
  Log.value()->close();
  return 0;
}
