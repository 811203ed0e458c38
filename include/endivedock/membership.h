#pragma once

/**
 * Public header of the membership slice: what hosts know of each other, merged from messages that
 * may be lost or late.
 */

#include "endivedock/membership/member_table.h"
#include "endivedock/membership/messages.h"
