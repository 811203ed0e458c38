#pragma once

/**
 * Public header of the dispatch slice: how this host gets placements, from itself or from the host
 * that places the service, and how it serves those of other hosts.
 */

#include "endivedock/dispatch/fallback_picker.h"
#include "endivedock/dispatch/local_placers.h"
#include "endivedock/dispatch/placement_client.h"
