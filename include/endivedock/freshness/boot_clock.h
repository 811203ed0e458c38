#pragma once

#include "endivedock/core.h"

namespace endivedock {

/** Function that returns the time of the boot clock, or that of a test. */
using BootTimeSource = BootTime (*)();

} // namespace endivedock
