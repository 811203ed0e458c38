#pragma once

/**
 * Public header of the net library: tasks, timers, and an HTTP client and server. HTTP bodies are
 * small here and are held in memory; the gateway has connections of its own that stream bodies.
 *
 * Clients that read responses themselves also include endivedock/net/response_reader.h, which is
 * left out here because it includes Beast.
 */

#include "endivedock/net/http_client.h"
#include "endivedock/net/http_server.h"
#include "endivedock/net/one_shot_channel.h"
#include "endivedock/net/response_rules.h"
#include "endivedock/net/socket_deadline.h"
#include "endivedock/net/task.h"
