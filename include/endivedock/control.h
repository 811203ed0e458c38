#pragma once

/** Public header of the control library, the functions behind the command line endivedockctl. */

#include "endivedock/control/change.h"
#include "endivedock/control/fleet.h"
#include "endivedock/control/operator_store.h"
