#pragma once

/**
 * Public header of the servicetime library: learns how long the requests of a service take, apart
 * for each kind of request that does different work.
 */

#include "endivedock/servicetime/messages.h"
#include "endivedock/servicetime/service_times.h"
