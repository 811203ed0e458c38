#pragma once

/** Public header of the measuring slice: which target is probed when, within a budget. */

#include "endivedock/probing/probe_schedule.h"
