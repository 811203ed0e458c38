#pragma once

/** Public header of the cold-start library: tracks whether a target is warm. */

#include "endivedock/coldstart/warmup_tracker.h"
