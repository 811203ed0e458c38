#pragma once

#include "endivedock/gateway/http_message.h"

namespace endivedock {

/** Whether a number of seconds may have a fraction. RFC 9110, section 10.2.3, allows none. */
enum class SecondsForm { Whole, Fractional };

/**
 * Reads from the fields of a refusal how long the target wants no requests, as a number of seconds
 * or a date; of several fields, the longest time counts.
 */
void readPause(const HeaderFields &fields, SecondsForm form, TargetReport &report);

} // namespace endivedock
