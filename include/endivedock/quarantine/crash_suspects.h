#pragma once

#include "endivedock/core.h"
#include "endivedock/quarantine/messages.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace endivedock {

/** When a request is refused because it crashed targets. */
struct QuarantineSettings
{
    /**
     * Number of crashes, of different targets or of different incarnations of one target, after
     * which a request is quarantined.
     */
    std::size_t crashesToQuarantine = 2;
    /** A quarantine or suspicion expires if no further crash was recorded for this time. */
    Seconds retention{600};
    /** Maximum number of fingerprints that are kept. */
    std::size_t capacity = 10'000;
    /** Crash reports for one target that follow each other within this time count as one crash. */
    Milliseconds crashMergeWindow{1000};
    /** A request is no cause of a crash if its content was answered within this time before. */
    Seconds recentAnswerWindow{30};
    /** Maximum number of contents for which the time of the last answer is kept. */
    std::size_t answerCapacity = 4096;
    /**
     * A lost attempt is explained by the end of its target if that is noticed within this time: the
     * platform removes the entry of a silent target after three heartbeats of 1.5 s.
     */
    Seconds verificationWindow{8};
    /** Interval between the probes that verify whether a target has ended. */
    Milliseconds verificationInterval{150};
    /**
     * Delay of the first of these probes after a silent attempt: most targets are only busy, and
     * respond to another request meanwhile.
     */
    Milliseconds silenceDelay{300};
    /**
     * A target that does not respond to this many probes in sequence has ended, although it accepts
     * connections or is only unreachable.
     */
    int probesToVerify = 3;
    /**
     * A request with the smallest number of crashes is tried again after this time, since two
     * targets may have ended for another reason.
     */
    Milliseconds firstTrialDelay{2000};
    /** Delay of a trial after one more crash; doubles with each further crash. */
    Seconds trialDelay{60};
};

/** An attempt whose target sent no complete response. */
struct LostAttempt
{
    Fingerprint request;
    TargetId target;
    /** Zone of the target; empty if it is not known. */
    ZoneId zone;
    TimePoint startedAt{};
    TimePoint lostAt{};
    /**
     * Whether the connection stayed open without a response. A busy target is silent as well, so
     * that silence counts only once the target is known to have ended.
     */
    bool isSilent = false;
};

/** A change in what is known of requests that may crash targets, for the log. */
struct CrashEvent
{
    enum class Kind {
        /** The attempt counts as a crash until its target responds, unless it was silent. */
        AttemptLost,
        /** The target responded after the loss, and is not known to have been restarted. */
        TargetAlive,
        /** The target has ended after the loss, so the crash counts. */
        TargetEnded,
        /** The content was answered recently, so the loss does not count. */
        RecentlyAnswered,
        /** The request has enough crashes to be refused. */
        Quarantined,
        /** Another host reported the crash. */
        Learned,
        /** A quarantined request is sent once more, to find out whether it still crashes. */
        Trial,
        /** The content of a suspect was answered, which ends the suspicion. */
        Cleared
    };

    Kind kind = Kind::AttemptLost;
    Fingerprint request;
    /** Empty if the event concerns no single target. */
    TargetId target;
    /** Crashes that count for the request. */
    std::size_t crashes = 0;
};

std::string_view name(CrashEvent::Kind kind);

/**
 * Detects requests that crash each target that runs them, by the fingerprint of their content.
 *
 * A lost attempt counts as a crash of its target until the target is seen alive. The owner probes
 * the targets for which needsVerification() holds, and passes on what it learns of targets.
 * Attempts that were in flight in one zone at the same time count as one crash, since one event may
 * have ended their targets. A request whose content is answered is not a cause. A quarantined
 * request is tried again at growing intervals, so that a wrong quarantine ends by itself.
 *
 * Callers should keep suspects on different targets (see isSuspect()), so that a crash is
 * attributed to one request only. Not thread-safe.
 */
class CrashSuspects
{
public:
    explicit CrashSuspects(QuarantineSettings settings = {})
        : m_settings(settings)
        , m_records(settings.capacity)
        , m_lastAnswers(settings.answerCapacity)
    {
    }

    // What happened to requests.
    void recordLoss(const LostAttempt &attempt);
    /** Records that @p target crashed while the request ran on it. */
    void recordCrash(const Fingerprint &request, const TargetId &target, TimePoint now);
    /** Records that the request was answered. */
    void recordResponse(const Fingerprint &request, TimePoint now);

    // What happened to targets.
    /** @param since  the target responded to something that was sent to it at this time */
    void recordTargetAlive(const TargetId &target, TimePoint since);
    /** @param isRefused  no connection could be opened, so that no process listens any more */
    void recordTargetUnresponsive(const TargetId &target, bool isRefused, TimePoint now);
    /** Records that the target has left, or that another process has taken its place. */
    void recordTargetEnded(const TargetId &target, TimePoint now);
    /**
     * @return whether a probe is due that shows whether the target has ended; if so, the next one
     *         is due after QuarantineSettings::verificationInterval
     */
    bool needsVerification(const TargetId &target, TimePoint now);

    /** @return whether the request ran on a crashed target and has not been answered since */
    bool isSuspect(const Fingerprint &request, TimePoint now);
    /**
     * @return whether the request must be refused: it has at least crashesToQuarantine crashes, and
     *         was not answered in between
     */
    bool isQuarantined(const Fingerprint &request, TimePoint now);
    /**
     * @return whether the request may be sent: it is not quarantined, or this is the trial that is
     *         due
     */
    bool tryAdmit(const Fingerprint &request, TimePoint now);

    // What hosts tell each other.
    /** @return the records that have changed by what this host saw since the last call */
    CrashRecords takeChanges(TimePoint now);
    /** @return the records, or if a message cannot hold all, those with the most crashes */
    CrashRecords records(TimePoint now);
    /** Adds what another host knows; the order and the number of the messages do not matter. */
    void merge(const CrashRecords &message, TimePoint now);

    /**
     * Decides whether the records that outlive the hosts in a store have to be written again.
     *
     * @param stored  what the store contains, with ages at @p now; was merged before
     * @return the records that the store is to contain, or nothing if it needs no write
     */
    std::optional<CrashRecords> recordsToStore(const CrashRecords &stored, TimePoint now);

    std::vector<CrashEvent> takeEvents() { return std::exchange(m_events, {}); }
    std::size_t size() const { return m_records.size(); }

private:
    /** One crash that is attributed to a request. */
    struct Crash
    {
        TargetId target;
        ZoneId zone;
        TimePoint startedAt{};
        TimePoint at{};
        /** Whether the target is known to have ended; only such crashes are told to other hosts. */
        bool isVerified = false;
    };
    /** What is known of requests with one fingerprint. */
    struct Record
    {
        std::vector<Crash> crashes;
        std::optional<TimePoint> lastAnsweredAt;
        std::optional<TimePoint> lastTrialAt;
    };
    /** What is known of the target of a lost attempt. */
    enum class TargetFate { Unknown, Alive };
    struct UnverifiedLoss
    {
        LostAttempt attempt;
        TargetFate fate = TargetFate::Unknown;
        int unansweredProbes = 0;
        TimePoint nextProbeAt{};
    };

    /** @return the record if it has a crash within the retention time, or null */
    Record *findUnexpired(const Fingerprint &request, TimePoint now);
    /** @return the crashes of the record that count, each for a separate event */
    std::size_t countCrashes(const Record &record) const;
    std::size_t crashCount(const Fingerprint &request, TimePoint now);
    /** @param record  has at least one crash */
    static TimePoint lastCrashAt(const Record &record);
    void mergeRecord(const CrashRecord &reported, TimePoint now);
    /** @return all records of quarantined requests with their verified crashes */
    std::vector<CrashRecord> quarantinedRecords(TimePoint now);
    static CrashRecord report(const Fingerprint &request, const Record &record, TimePoint now);
    bool isExpired(const LostAttempt &attempt, TimePoint now) const;
    /** @param record  is quarantined */
    TimePoint nextTrialAt(const Record &record) const;
    /** @return false if the crash was known */
    bool addCrash(const Fingerprint &request, const Crash &crash);
    void removeCrash(const LostAttempt &attempt);
    void purgeExpiredLosses(TimePoint now);
    bool isRecentlyAnswered(const Fingerprint &request, TimePoint at);
    void addEvent(CrashEvent::Kind kind, const Fingerprint &request, const TargetId &target,
                  TimePoint now);

    QuarantineSettings m_settings;
    BoundedMap<Fingerprint, Record> m_records;
    /** When a request with this content was last answered. */
    BoundedMap<Fingerprint, TimePoint> m_lastAnswers;
    /** Lost attempts whose targets are not known to have ended. */
    std::map<TargetId, std::vector<UnverifiedLoss>> m_unverifiedLosses;
    TimePoint m_nextPurgeAt{};
    /** Records whose change has not been told to the other hosts yet. */
    std::set<Fingerprint> m_changed;
    std::vector<CrashEvent> m_events;
};

} // namespace endivedock
