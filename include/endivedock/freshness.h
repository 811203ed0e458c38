#pragma once

/**
 * Public header of the freshness library, which decides whether a host may still rely on the
 * callers' keys in its configuration: as of which moment it knows that no newer configuration
 * existed.
 */

#include "endivedock/freshness/boot_clock.h"
#include "endivedock/freshness/configuration_freshness.h"
#include "endivedock/freshness/freshness_inquiry.h"
#include "endivedock/freshness/messages.h"
