#pragma once

/** Public header of the control slice: what the operators' command line does. */

#include "endivedock/control/change.h"
#include "endivedock/control/fleet.h"
#include "endivedock/control/operator_store.h"
