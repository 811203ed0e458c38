#pragma once

/**
 * Public header of the placement slice: the placing host's decisions for one service, and the
 * messages by which other hosts ask for them.
 */

#include "endivedock/placement/messages.h"
#include "endivedock/placement/placer.h"
