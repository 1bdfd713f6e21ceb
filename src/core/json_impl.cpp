// Boost.JSON, compiled into the library once.
#include <boost/json/src.hpp>
