#pragma once

#include "endivedock/core.h"

#include <optional>

namespace endivedock {

/** What the machine allows this process, as the host's settings state it. */
struct MachineLimits
{
    /** Memory of the process with the bytes in its sockets; absent: all memory of the machine. */
    std::optional<Bytes> memory;
    /** Open descriptors; absent: the limit that the system has set for the process. */
    std::optional<int> descriptors;
};

/** What a host may hold for callers and targets. */
struct AdmissionLimits
{
    /** Bodies of requests and responses, with the socket buffers of their connections. */
    Bytes budget{0};
    /** Connections of callers. */
    Connections callers{0};
    /** Connections to targets. */
    Connections targets{0};
    /** The socket buffers of all callers together; absent: the system sets their sizes. */
    std::optional<Bytes> socketBuffers;
};

/**
 * @return the size of each socket buffer of a further caller beside @p connections others, halved
 *         as often as it takes for all to fit; nothing if the system sets it
 */
std::optional<Bytes> socketBufferSize(const AdmissionLimits &limits, std::size_t connections);

/** @return the parts of the machine's limits that callers and targets may have */
AdmissionLimits admissionLimits(const MachineLimits &machine);

} // namespace endivedock
