#pragma once

/** Public header of the quarantine slice: requests that crash the targets that run them. */

#include "endivedock/quarantine/crash_suspects.h"
