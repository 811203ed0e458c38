#pragma once

/**
 * Public header of the shards library: maps services and idempotency keys to shards, shards to
 * replica hosts, and grants each shard's lease to one of its replicas. The host that holds the
 * lease is the placing host of the shard's services. The platform's store holds the current view,
 * which lists the member hosts. A majority of a shard's three replicas grants its lease for a
 * limited time; there is no replicated log.
 */

#include "endivedock/shards/lease_grantor.h"
#include "endivedock/shards/lease_holder.h"
#include "endivedock/shards/messages.h"
#include "endivedock/shards/shard_map.h"
#include "endivedock/shards/view_proposal.h"
