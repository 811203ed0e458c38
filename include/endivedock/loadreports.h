#pragma once

/**
 * Public header of the loadnews slice: how hosts tell each other what they have in flight and what
 * targets told them. One host relays for each service; any host can take over at any moment, since
 * nothing depends on who it is.
 */

#include "endivedock/loadreports/load_aggregator.h"
#include "endivedock/loadreports/messages.h"
#include "endivedock/loadreports/placing_host_selector.h"
