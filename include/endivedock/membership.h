#pragma once

/**
 * Public header of the membership library: the state of all hosts, merged from gossip messages that
 * may be lost or late.
 */

#include "endivedock/membership/member_table.h"
#include "endivedock/membership/messages.h"
