#pragma once

/** Public header of the measuring slice: which target is probed when, within a budget. */

#include "endivedock/measuring/probe_plan.h"
