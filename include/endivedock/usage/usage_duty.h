#pragma once

#include "endivedock/usage/usage_record.h"
#include "endivedock/usage/usage_tally.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

namespace endivedock {

/** One call to the receiver of reports. */
struct UsageReport
{
    UsageWindow window;
    FencingToken token;
    TeamCounts counts;
};

/** What became of a call to the receiver of reports. */
enum class UsageAnswer : std::uint8_t {
    Accepted,
    /** The receiver saw a higher token. */
    Fenced,
    /** Too many calls; the call did nothing. */
    Throttled,
    /** No answer, or none of the others: the call may be carried out, now or later. */
    Unknown
};

std::string_view name(UsageAnswer answer);

/** The record in the store, with the revision of its last change. */
struct StoredUsageRecord
{
    UsageRecord record;
    Revision revision;
    /** The store has come back from an older copy, so windows may be missing in the record. */
    bool isRestored = false;
};

/** What a host knows when it decides on its next step. */
struct UsageView
{
    /** Time by a clock that also runs while the machine sleeps. */
    TimePoint now;
    /** Unix time. */
    Milliseconds timeOfDay{0};
    /** The holder according to this host's copy of the store, which may be old. */
    std::optional<HostId> holder;
    /** The record according to this host's copy of the store; null if there is none. */
    const StoredUsageRecord *record = nullptr;
    /** How many hosts stand for holder before this one. */
    std::size_t rank = 0;
    /** Whether this host serves and has a configuration with teams. */
    bool canStand = false;
    const UsageTally &tally;
};

/** Steps that UsageDuty asks for; the outcome of each is told to it. */
namespace usage_step {
/** Do nothing for this time. */
struct Wait
{
    Duration time;
};
/** Get a lease from the store and write the holder's key with it, unless that key exists. */
struct Claim
{
};
struct RenewLease
{
};
/** End the lease, so that another host need not wait for its end. */
struct EndLease
{
};
/** Write the record, if its key has not changed since the revision (0: does not exist). */
struct WriteRecord
{
    UsageRecord record;
    Revision expected;
};
struct Send
{
    UsageReport report;
};
} // namespace usage_step

using UsageStep = std::variant<usage_step::Wait, usage_step::Claim, usage_step::RenewLease,
                               usage_step::EndLease, usage_step::WriteRecord, usage_step::Send>;

/** Why a window was not reported. */
enum class UnreportedCause : std::uint8_t {
    /** All hosts that had counted in it are gone. */
    CountsLost,
    /** No holder could record it in time. */
    RecordedTooLate,
    /** A holder may have reported it whose record the store has lost. */
    MayBeReported,
    /** The receiver confirmed no report in time; it may have carried one out. */
    NotConfirmed
};

std::string_view name(UnreportedCause cause);

struct UnreportedWindow
{
    UsageWindow window;
    UnreportedCause cause;
};

/**
 * Decides for one host whether it stands for holder of the usage duty and what it does as holder.
 * Two hosts may believe at once that they hold it: each window's counts are those that the store's
 * record took first, tokens rise with each write of a new term, and the receiver refuses the lower
 * one.
 */
class UsageDuty
{
public:
    /**
     * @param startedAt  Unix time of this host's start
     * @param jitter  random, up to maxJitter; parts hosts with a high rank
     */
    UsageDuty(HostId self, const UsageSettings &settings, Milliseconds startedAt,
              Milliseconds jitter)
        : m_self(self)
        , m_settings(settings)
        , m_startedAt(startedAt)
        , m_jitter(jitter)
    {
    }

    /** @return what to do next; to be called again at once after the outcome of a step is known */
    UsageStep next(const UsageView &view);

    /** @param sentAt  when the call for the lease was sent; the lease runs from its arrival */
    void recordClaimed(TimePoint sentAt);
    void recordClaimFailed(TimePoint now);
    void recordRenewed(TimePoint sentAt);
    void recordRenewalUnknown(TimePoint now);
    /** The store no longer has the lease. */
    void recordLeaseEnded(TimePoint now);
    /** The record was written and has this revision. */
    void recordWritten(Revision revision);
    /** The record was not written, since the store has another; absent if it has none. */
    void recordConflict(std::optional<StoredUsageRecord> stored, TimePoint now);
    /** The write may have taken effect, or may yet. */
    void recordWriteUnknown(TimePoint now);
    void recordAnswer(UsageWindow window, UsageAnswer answer, TimePoint now);
    /** This host stops: it ends its lease and does not stand again. */
    void stop() { m_isStopping = true; }

    bool isHolder() const { return m_phase == Phase::Holding; }
    FencingToken token() const { return m_record.token; }
    /** @return the windows that were given up since the last call */
    std::vector<UnreportedWindow> takeUnreported();

    /**
     * A window is recorded this share of UsageSettings::lateAfter after its end: nearly all its
     * requests have ended then, and the store may be away for most of the remaining time.
     */
    static constexpr double recordAfter = 0.2;
    /**
     * A call to the receiver or the store begins only if the lease runs this much longer, or a
     * quarter of a shorter lease.
     */
    static constexpr Milliseconds callRoom{600};
    static constexpr Milliseconds maxJitter{4000};

private:
    enum class Phase { Follower, Opening, Holding };

    UsageStep nextAsFollower(const UsageView &view);
    UsageStep nextAsHolder(const UsageView &view);
    std::optional<UsageStep> nextRecord(const UsageView &view);
    /** Takes the windows that are due into the record; @return whether it changed */
    bool closeWindows(UsageRecord &record, const UsageView &view);
    void openTerm(const UsageView &view);
    /** @return whether no host that may have counted in the window was lost with its counts */
    bool isCovered(UsageWindow window, const UsageView &view) const;
    void endTerm(TimePoint now);
    /** Keeps the record if it is newer than all before. */
    void observe(const UsageRecord &record);
    Milliseconds endOf(UsageWindow window) const
    {
        return beginOf(after(window), m_settings.windowLength);
    }

    HostId m_self;
    UsageSettings m_settings;
    Milliseconds m_startedAt;
    Milliseconds m_jitter;
    Phase m_phase = Phase::Follower;
    bool m_isStopping = false;
    bool m_hasLease = false;
    /** When the last call that got or renewed the lease was sent. */
    TimePoint m_leaseSentAt{};
    TimePoint m_nextRenewalAt{};
    /** Since when this host's copy of the store has named no holder. */
    std::optional<TimePoint> m_vacantSince;
    TimePoint m_standAgainAt{};
    /** The record as the store has it, as far as this host knows. */
    UsageRecord m_record;
    Revision m_recordRevision;
    /** Whether windows may be missing in the record with which the term began. */
    bool m_isRestored = false;
    /** Whether the store had no record when the term began: no counts were lost before it. */
    bool m_isFirstTerm = false;
    /** The newest record that this host has seen; newer than the store's if that went back. */
    UsageRecord m_newest;
    /** A record that is being written: if the outcome is unknown, it is written again as it is. */
    std::optional<UsageRecord> m_writing;
    TimePoint m_nextWriteAt{};
    std::set<UsageWindow> m_confirmed;
    TimePoint m_nextSendAt{};
    std::vector<UnreportedWindow> m_unreported;
    /** Windows that become unreported with the record that is being written. */
    std::vector<UnreportedWindow> m_givenUp;
};

} // namespace endivedock
