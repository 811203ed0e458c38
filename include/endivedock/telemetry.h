#pragma once

/** Public header of the telemetry library: structured log lines, counters and distributions. */

#include "endivedock/telemetry/log.h"
#include "endivedock/telemetry/metrics.h"
