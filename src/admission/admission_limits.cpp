#include "endivedock/admission/admission_limits.h"

#include <algorithm>

#include <sys/resource.h>
#include <unistd.h>

namespace endivedock {

namespace {

/**
 * Part of the memory for bodies. The rest is for the process itself (15 to 60 MB), for bodies up to
 * 16 KB, connections, and what allocators and sockets take beyond what is asked of them.
 */
constexpr std::uint64_t budgetPercent = 40;
/** Part of the memory for connections without a body, and the most that one of them takes. */
constexpr std::uint64_t connectionsPercent = 25;
constexpr std::uint64_t connectionBytes = 16 * 1024;
/** Descriptors that are left to files: the platform reserves them. At most half of all. */
constexpr int fileDescriptors = 200;
/** Sockets for the store, the listening addresses and the event loop. */
constexpr int ownSockets = 32;
/** Part of the sockets for other hosts and probes; of the rest, the part for callers. */
constexpr int fleetSixteenths = 1;
constexpr int callerPercent = 75;
/** Four round trips of 50 ms on a link of 10 Mbit/s, the narrowest that deployments have. */
constexpr std::uint64_t maxSocketBuffer = 64 * 1024;
constexpr std::uint64_t minSocketBuffer = 4 * 1024;
/** A connection has one buffer for each direction. */
constexpr std::uint64_t buffersPerConnection = 2;
/** Assumed where the system tells neither. */
constexpr std::uint64_t unknownMemory = 1ull << 30;
constexpr int unknownDescriptors = 1024;
/** More connections are of no use to one process. */
constexpr int maxDescriptors = 1'000'000;

std::uint64_t systemMemory()
{
    const long pages = sysconf(_SC_PHYS_PAGES);
    const long pageBytes = sysconf(_SC_PAGESIZE);
    if (pages <= 0 || pageBytes <= 0)
        return unknownMemory;
    return static_cast<std::uint64_t>(pages) * static_cast<std::uint64_t>(pageBytes);
}

int systemDescriptors()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return unknownDescriptors;
    return static_cast<int>(std::min<rlim_t>(limit.rlim_cur, maxDescriptors));
}

} // namespace

AdmissionLimits admissionLimits(const MachineLimits &machine)
{
    const std::uint64_t memory = machine.memory ? machine.memory->value() : systemMemory();
    const int descriptors =
            std::min(machine.descriptors.value_or(systemDescriptors()), maxDescriptors);
    const int sockets = descriptors - std::min(fileDescriptors, descriptors / 2);
    const int exchangeSockets =
            std::max(sockets - ownSockets - sockets * fleetSixteenths / 16, sockets / 2);
    const int callerSockets = exchangeSockets * callerPercent / 100;
    const std::uint64_t callersInMemory = memory * connectionsPercent / 100 / connectionBytes;
    AdmissionLimits result;
    result.budget = Bytes(memory * budgetPercent / 100);
    result.callers = Connections(static_cast<int>(
            std::min<std::uint64_t>(static_cast<std::uint64_t>(callerSockets), callersInMemory)));
    result.targets = Connections(exchangeSockets - callerSockets);
    if (machine.memory)
        result.socketBuffers = Bytes(memory * connectionsPercent / 100);
    return result;
}

std::optional<Bytes> socketBufferSize(const AdmissionLimits &limits, std::size_t connections)
{
    if (!limits.socketBuffers)
        return std::nullopt;
    std::uint64_t size = maxSocketBuffer;
    while (size > minSocketBuffer &&
           (connections + 1) * size * buffersPerConnection > limits.socketBuffers->value())
        size /= 2;
    return Bytes(size);
}

} // namespace endivedock
