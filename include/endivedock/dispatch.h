#pragma once

/**
 * Public header of the dispatch library: gets placements for this host's requests, from a local
 * placer or from the placing host of the service, and runs the placers of the services of which
 * this host is the placing host.
 */

#include "endivedock/dispatch/fallback_picker.h"
#include "endivedock/dispatch/local_placers.h"
#include "endivedock/dispatch/placement_client.h"
#include "endivedock/dispatch/target_availability.h"
#include "endivedock/dispatch/target_statements.h"
