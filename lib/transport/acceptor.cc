/// \file
/// Conversion of TCP addresses and opening of listening sockets.
#include "sesamespread/transport/acceptor.h"

#include <system_error>

#include "sesamespread/state/settings.h"

namespace sesamespread::transport {

boost::asio::ip::tcp::endpoint ToTcpEndpoint(const state::Endpoint& endpoint) {
  return {boost::asio::ip::make_address(endpoint.address), endpoint.port};
}

void OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                  const state::Endpoint& endpoint) {
  using boost::asio::ip::tcp;
  try {
    const tcp::endpoint address = ToTcpEndpoint(endpoint);
    acceptor.open(address.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(address);
    acceptor.listen();
  } catch (const boost::system::system_error& error) {
    throw std::system_error(std::error_code(error.code()),
                            "can't listen at " + state::ToString(endpoint));
  }
}

}  // namespace sesamespread::transport
