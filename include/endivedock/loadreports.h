#pragma once

/**
 * Public header of the loadreports library: the reports in which hosts exchange the numbers of
 * their in-flight requests and the load that targets reported to them. The placing host of a
 * service aggregates the reports on that service. Any host can take over the aggregation at any
 * time, since its result does not depend on which host aggregates.
 */

#include "endivedock/loadreports/load_aggregator.h"
#include "endivedock/loadreports/load_totals.h"
#include "endivedock/loadreports/messages.h"
#include "endivedock/loadreports/placing_host_selector.h"
