// A row or summary with the version at which each part last changed, from
// which a delta for any cursor is built.
#ifndef PRIMROSEWORKS_ROW_PVT_H
#define PRIMROSEWORKS_ROW_PVT_H

#include "primroseworks/gossip.h"

namespace primroseworks::pvt {

unsigned loadCode(unsigned LoadBucket, unsigned FreeSlots);
unsigned loadBucketOfCode(unsigned Code);
unsigned freeSlotsOfCode(unsigned Code);

/// A load that moved by at most this many steps is not told again: a load near
/// the edge of a step crosses it back and forth each second.
inline constexpr unsigned RowTolerance = 1;

/// Other regions choose by capacity, not by the load of the moment, and pay for
/// each byte.
inline constexpr unsigned SummaryTolerance = 3;

/// True if Next has to be told to those who know Told.
bool loadDiffers(unsigned Told, unsigned Next, unsigned Tolerance);

/// Result of applying a delta.
enum class Applied {
  Changed, ///< The version rose.
  Urgent,  ///< The version rose, and an endpoint's state changed.
  Old,     ///< Nothing new.
  Missing  ///< Changes before it are missing; the whole row is needed.
};

/// One daemon's row.
class VersionedRow {
public:
  GossipRow m_row;

  RowDelta deltaFrom(std::uint64_t Base) const;
  Applied apply(const RowDelta &Delta);

  /// Publishes Endpoints as the next version if they differ, or if Force.
  Applied publish(const std::vector<EndpointSummary> &Endpoints,
                  std::uint64_t ConfigRevision, bool Force);

private:
  struct Stamps {
    std::uint64_t m_detail = 0;
    std::uint64_t m_load = 0;
  };
  std::uint64_t m_identityChanged = 0;
  std::uint64_t m_countChanged = 0;
  std::uint64_t m_configChanged = 0;
  std::vector<Stamps> m_stamps; ///< One an endpoint.

  bool fits(const RowDelta &Delta) const;
  bool applyDetails(const RowDelta &Delta);
};

/// One region's summary by one writer.
class VersionedSummary {
public:
  RegionCapacity m_summary;

  SummaryDelta deltaFrom(std::uint64_t Base) const;
  Applied apply(const SummaryDelta &Delta);

  /// Publishes the next version; it always rises, which shows progress.
  void publish(const std::map<std::string, RegionModel> &Models,
               const std::map<std::uint64_t, std::string> &Members);

private:
  struct Slot {
    std::string m_model;
    unsigned m_replicas = 0;
    unsigned m_loadCode = 0;
    std::uint64_t m_nameChanged = 0;
    std::uint64_t m_changed = 0;
  };
  struct MemberStamp {
    std::string m_name;
    std::uint64_t m_changed = 0;
    bool m_alive = true;
  };
  std::uint64_t m_whole = 0; ///< Version of the last whole summary applied.
  std::vector<Slot> m_slots; ///< A model keeps its position.
  std::map<std::string, unsigned> m_positions;
  std::map<std::uint64_t, MemberStamp> m_members;

  void rebuild();
  void endAll(std::uint64_t Version);
  void set(unsigned Position, const std::string &Model, unsigned Replicas,
           unsigned Code, std::uint64_t Version);
};

} // namespace primroseworks::pvt

#endif
