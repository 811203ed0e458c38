#pragma once

/**
 * Public header of the loadreports library: the reports in which hosts exchange their in-flight
 * requests and the load that targets reported to them. The placing host of a service aggregates its
 * reports. Any host can take over at any time, since the aggregation does not depend on which host
 * does it.
 */

#include "endivedock/loadreports/load_aggregator.h"
#include "endivedock/loadreports/messages.h"
#include "endivedock/loadreports/placing_host_selector.h"
