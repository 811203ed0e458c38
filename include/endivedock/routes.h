#pragma once

/**
 * Public header of the routes slice: which service a request goes to, by its host and path, and the
 * rules of routes and services of one configuration.
 */

#include "endivedock/routes/routing_table.h"
#include "endivedock/routes/weighted_round_robin.h"
