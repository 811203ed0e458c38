#pragma once

/** Public header of the host slice: one entry host, put together from the other slices. */

#include "endivedock/host/entry_host.h"
#include "endivedock/host/settings.h"
