#include "endivedock/net/task.h"

#include <cstdlib>
#include <iostream>

namespace endivedock {

void exitProcess(int status)
{
    std::cout.flush();
    std::cerr.flush();
    std::_Exit(status);
}

} // namespace endivedock
