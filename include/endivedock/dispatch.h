#pragma once

/**
 * Public header of the dispatch slice: how this host gets placements, from itself or from the host
 * that places the service, and how it serves those of other hosts.
 */

#include "endivedock/dispatch/placement_client.h"
#include "endivedock/dispatch/placement_host.h"
#include "endivedock/dispatch/stopgap.h"
