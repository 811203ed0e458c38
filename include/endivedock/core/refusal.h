#pragma once

#include "endivedock/core/units.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace endivedock {

/**
 * Why a request was refused. describe() returns the name and a sentence for each reason; the names
 * are public, see docs/OPERATORS.md.
 */
enum class RefusalReason {
    BadRequest,
    HeaderTooLarge,
    BodyTooLarge,
    UnknownService,
    Unauthenticated,
    KeyRequired,
    NoConfiguration,
    StaleConfiguration,
    QueueFull,
    DeadlineExceeded,
    NoTarget,
    CrashSuspect,
    RetryBudget,
    RunInProgress,
    AlreadyRun,
    RunRecordUnavailable,
    TargetRefused,
    TargetFailed,
    MemoryShort,
    Internal,
};

constexpr std::size_t refusalReasonCount = static_cast<std::size_t>(RefusalReason::Internal) + 1;

/** Whether a target may have started to run a refused request. */
enum class RunCertainty { NotRun, MayHaveRun };

/** How a refusal for one reason is reported to the caller. */
struct RefusalDescription
{
    std::string_view name;
    std::string_view title;
    unsigned httpStatus;
    /** Delay after which a retry may succeed; zero if waiting does not help. */
    Seconds retryAfter;
};

/** @return the description of @p reason; static lifetime */
const RefusalDescription &describe(RefusalReason reason);

/** The refusal of a request, with the reason for it. */
struct Refusal
{
    RefusalReason reason = RefusalReason::Internal;
    RunCertainty certainty = RunCertainty::MayHaveRun;
    /** Delay after which a retry may succeed; absent if no specific delay is known. */
    std::optional<Milliseconds> retryAfter = std::nullopt;
    /** What the reason does not say, for the log of this host; sent neither to callers nor hosts.
     */
    std::string detail = {};

    bool operator==(const Refusal &) const = default;
};

} // namespace endivedock
