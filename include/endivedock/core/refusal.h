#pragma once

#include "endivedock/core/units.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace endivedock {

/** Why a request was refused. The names are part of the interface; see docs/OPERATORS.md. */
enum class RefusalReason {
    BadRequest,
    HeaderTooLarge,
    BodyTooLarge,
    UnknownService,
    KeyRequired,
    NoConfiguration,
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
    Internal,
};

constexpr std::size_t refusalReasonCount = static_cast<std::size_t>(RefusalReason::Internal) + 1;

/** Whether a target can have begun the request that is refused. */
enum class RunCertainty { NotRun, MayHaveRun };

/** What a caller is told for a reason. */
struct RefusalDescription
{
    std::string_view name;
    std::string_view title;
    unsigned httpStatus;
    /** Zero where waiting does not help. */
    Seconds retryAfter;
};

/** @return the stable description of @p reason; static lifetime */
const RefusalDescription &describe(RefusalReason reason);

/** A refusal as the layers pass it on. */
struct Refusal
{
    RefusalReason reason = RefusalReason::Internal;
    RunCertainty certainty = RunCertainty::MayHaveRun;
    /** When the caller may come back with a chance; absent where nothing better is known. */
    std::optional<Milliseconds> retryAfter = std::nullopt;

    bool operator==(const Refusal &) const = default;
};

} // namespace endivedock
