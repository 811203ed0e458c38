#pragma once

/**
 * Public header of the shards slice: which hosts look after which services and keys, and which of
 * them holds a shard's lease. Views of the hosts come from the platform's store; leases are granted
 * by a majority of a shard's three replicas, with time limits and no log.
 */

#include "endivedock/shards/lease_grantor.h"
#include "endivedock/shards/lease_holder.h"
#include "endivedock/shards/messages.h"
#include "endivedock/shards/shard_map.h"
#include "endivedock/shards/view_proposal.h"
