#pragma once

/**
 * Public header of the configuration slice: what operators declare, how it is checked, and how a
 * host keeps the newest copy. Knows nothing of where copies come from.
 */

#include "endivedock/config/declarations.h"
#include "endivedock/config/keys.h"
#include "endivedock/config/messages.h"
#include "endivedock/config/newest_configuration.h"
