#pragma once

/**
 * Public header of the edge slice: an entry host that balances by itself and shares its counts with
 * the others, on a platform whose store holds targets, configuration and orders.
 */

#include "endivedock/edge/edge_host.h"
#include "endivedock/edge/edge_settings.h"
#include "endivedock/edge/platform_concept.h"
#include "endivedock/edge/registry.h"
#include "endivedock/edge/shared_placement.h"
