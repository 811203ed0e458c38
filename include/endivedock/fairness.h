#pragma once

/**
 * Public header of the fairness library, which divides the room of a service's targets among the
 * teams whose requests wait for it.
 */

#include "endivedock/fairness/fair_queue.h"
#include "endivedock/fairness/team_hash.h"
