#pragma once

/**
 * Public header of the placement library: the placer, which decides for one service which target
 * gets which request, and the messages between the placing host and the other hosts.
 */

#include "endivedock/placement/messages.h"
#include "endivedock/placement/placer.h"
