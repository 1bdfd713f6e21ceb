// Compiles Boost.JSON into the library once.
#include <boost/json/src.hpp>
