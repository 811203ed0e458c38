// The only translation unit that compiles the sources of Asio.
#include <boost/asio/impl/src.hpp>
