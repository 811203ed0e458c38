// The only translation unit that compiles the sources of Beast.
#include <boost/beast/src.hpp>
