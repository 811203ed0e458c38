#pragma once

/**
 * Public header of the loadnews slice: how hosts tell each other what they have in flight and what
 * targets told them. One host relays for each service; any host can take over at any moment, since
 * nothing depends on who it is.
 */

#include "endivedock/loadnews/messages.h"
#include "endivedock/loadnews/news_relay.h"
#include "endivedock/loadnews/relay_choice.h"
