#pragma once

/**
 * Public header of the zones library, which decides in which zones the requests for a service are
 * placed, and when a zone without room passes requests on to another one. The library makes
 * decisions only; it does no I/O.
 */

#include "endivedock/zones/messages.h"
#include "endivedock/zones/room_of_zones.h"
#include "endivedock/zones/room_statements.h"
#include "endivedock/zones/zone_division.h"
