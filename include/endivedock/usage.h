#pragma once

/**
 * Public header of the usage library, which counts the requests that targets began to run, by team
 * and window, and decides which host reports a window, when, and with which counts.
 */

#include "endivedock/usage/messages.h"
#include "endivedock/usage/own_usage.h"
#include "endivedock/usage/usage_duty.h"
#include "endivedock/usage/usage_record.h"
#include "endivedock/usage/usage_tally.h"
#include "endivedock/usage/usage_window.h"
