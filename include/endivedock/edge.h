#pragma once

/**
 * Public header of the edge library: a host that balances requests and exchanges load reports with
 * the other hosts, on a platform whose key-value store holds targets, configuration and rollout
 * orders.
 */

#include "endivedock/edge/edge_host.h"
#include "endivedock/edge/edge_settings.h"
#include "endivedock/edge/platform_concept.h"
#include "endivedock/edge/registry.h"
#include "endivedock/edge/shared_placement.h"
