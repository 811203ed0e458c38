#pragma once

/**
 * Public header of the peers slice: authenticated datagrams and streams between entry hosts. Knows
 * nothing of what the messages mean.
 */

#include "endivedock/peers/peer_stream.h"
#include "endivedock/peers/replay_window.h"
#include "endivedock/peers/seal.h"
#include "endivedock/peers/transport.h"
