#pragma once

#include "endivedock/core/codec.h"
#include "endivedock/placement/codec.h"
#include "endivedock/rollout/codec.h"
#include "endivedock/shards/messages.h"

namespace endivedock {

template <typename Archive>
void serialize(Archive &archive, ViewMember &member)
{
    archive(member.id, member.region, member.zone, member.address, member.incarnation);
}

template <typename Archive>
void serialize(Archive &archive, View &view)
{
    archive(view.number, view.members, view.previousNumber, view.previous);
}

template <typename Archive>
void serialize(Archive &archive, LeaseRequest &request)
{
    archive(request.view, request.sentAt, request.shards);
}

template <typename Archive>
void serialize(Archive &archive, LeaseAnswer &answer)
{
    archive(answer.view, answer.sentAt, answer.granted);
}

template <typename Archive>
void serialize(Archive &archive, LeaseRelease &release)
{
    archive(release.shards);
}

template <typename Archive>
void serialize(Archive &archive, HolderSnapshot &snapshot)
{
    archive(snapshot.service, snapshot.warmTargets, snapshot.rollout);
}

} // namespace endivedock
