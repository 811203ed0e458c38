// The one unit that compiles Asio itself.
#include <boost/asio/impl/src.hpp>
