#pragma once

/**
 * Public header of the probing library: decides when each target is probed, within a rate limit.
 */

#include "endivedock/probing/probe_schedule.h"
