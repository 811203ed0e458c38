// The one unit that compiles Beast itself.
#include <boost/beast/src.hpp>
