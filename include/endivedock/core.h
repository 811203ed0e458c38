#pragma once

/**
 * Public header of the core library: identifiers, units, time, randomness, errors and the refusal
 * reasons that all libraries share. Holds no state and does no I/O.
 */

#include "endivedock/core/address.h"
#include "endivedock/core/bounded_map.h"
#include "endivedock/core/errors.h"
#include "endivedock/core/ids.h"
#include "endivedock/core/median.h"
#include "endivedock/core/random.h"
#include "endivedock/core/refusal.h"
#include "endivedock/core/time.h"
#include "endivedock/core/units.h"
