#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace endivedock {

/** @return the upper median of @p values, which must not be empty; reorders @p values */
template <typename T>
T median(std::vector<T> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace endivedock
