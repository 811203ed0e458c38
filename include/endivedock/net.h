#pragma once

/**
 * Public header of the net slice: what I/O tasks share. HTTP bodies here are small and held whole
 * in memory; the gateway streams its own.
 */

#include "endivedock/net/http_client.h"
#include "endivedock/net/http_server.h"
#include "endivedock/net/one_shot_channel.h"
#include "endivedock/net/task.h"
