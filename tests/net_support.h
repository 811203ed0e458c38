#pragma once

#include "endivedock/net.h"

#include <exception>

#include <boost/asio/io_context.hpp>

namespace endivedock::testing {

/** Runs @p context until @p task ends; rethrows an exception that leaves the task. */
inline void runTask(asio::io_context &context, Task<> task)
{
    std::exception_ptr failure;
    asio::co_spawn(context, std::move(task), [&](std::exception_ptr error) {
        failure = error;
        context.stop();
    });
    context.restart();
    context.run();
    if (failure)
        std::rethrow_exception(failure);
}

/** A loopback address with a free port that the system chooses. */
inline const Address anyLoopbackAddress{"127.0.0.1", 0};

} // namespace endivedock::testing
