#pragma once

/** Public header of the quarantine library: detects requests that crash targets. */

#include "endivedock/quarantine/codec.h"
#include "endivedock/quarantine/crash_suspects.h"
#include "endivedock/quarantine/messages.h"
