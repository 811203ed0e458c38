#pragma once

/**
 * Public header of the configuration library: the operators' declarations, their validation, and
 * the newest configuration that a host has. The library does not depend on where snapshots come
 * from.
 */

#include "endivedock/config/declarations.h"
#include "endivedock/config/keys.h"
#include "endivedock/config/messages.h"
#include "endivedock/config/newest_configuration.h"
