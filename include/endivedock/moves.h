#pragma once

/** Public header of the moves slice: moving a service from one version to another, or back. */

#include "endivedock/moves/evidence.h"
#include "endivedock/moves/version_mover.h"
