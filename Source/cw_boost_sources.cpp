// Implementation of Boost.Asio and Boost.Beast, compiled once for all programs.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
