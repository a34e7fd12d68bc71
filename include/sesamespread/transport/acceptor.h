/// \file
/// Conversion of TCP addresses and opening of listening sockets.
#ifndef SESAMESPREAD_TRANSPORT_ACCEPTOR_H_
#define SESAMESPREAD_TRANSPORT_ACCEPTOR_H_

#include <boost/asio/ip/tcp.hpp>

#include "sesamespread/state/node_record.h"

namespace sesamespread::transport {

/// \throws boost::system::system_error if the address is not a numeric IP
/// address.
boost::asio::ip::tcp::endpoint ToTcpEndpoint(const state::Endpoint& endpoint);

/// Opens \p acceptor, binds it to \p endpoint and starts to listen.
/// \throws std::system_error with \p endpoint in its text if a step fails.
void OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                  const state::Endpoint& endpoint);

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_ACCEPTOR_H_
