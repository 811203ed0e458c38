#pragma once

/** Public header of the cold-start slice: whether a target is warm, and what it bears until then.
 */

#include "endivedock/coldstart/warmup_tracker.h"
