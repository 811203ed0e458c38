#pragma once

/**
 * Public header of the peers library: authenticated datagrams and streams between hosts. Does not
 * depend on the contents of the messages.
 */

#include "endivedock/peers/peer_stream.h"
#include "endivedock/peers/replay_window.h"
#include "endivedock/peers/seal.h"
#include "endivedock/peers/transport.h"
