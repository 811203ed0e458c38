#pragma once

/** Public header of the host library: an entry host, composed of the other libraries. */

#include "endivedock/host/entry_host.h"
#include "endivedock/host/settings.h"
