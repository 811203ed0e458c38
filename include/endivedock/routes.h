#pragma once

/**
 * Public header of the routes library: maps the host and path of a request to a service, and holds
 * the rules of the routes and services of one configuration.
 */

#include "endivedock/routes/routing_table.h"
#include "endivedock/routes/weighted_round_robin.h"
