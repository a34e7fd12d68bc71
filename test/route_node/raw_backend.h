/// \file
/// A backend server that writes arbitrary bytes, for the faults that a server
/// built on an HTTP library cannot produce.
#ifndef SESAMESPREAD_TEST_ROUTE_NODE_RAW_BACKEND_H_
#define SESAMESPREAD_TEST_ROUTE_NODE_RAW_BACKEND_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "sesamespread/state/node_record.h"

namespace sesamespread::test {

/// One connection of a RawBackend. Write blocks until the bytes are sent.
class RawConnection {
 public:
  RawConnection(boost::asio::ip::tcp::socket& socket,
                const std::atomic<bool>& stopping)
      : socket_(socket), stopping_(stopping) {}

  /// \returns false if the node has closed the connection or the test ends.
  bool Write(std::string_view bytes);
  /// Closes the connection with a FIN, or with a RST if \p reset is set.
  void Close(bool reset);
  /// Sends a FIN, and closes the connection once the node has closed it. Unread
  /// bytes would turn an earlier close into a reset.
  void CloseAfterNode();
  /// Requests received on this connection.
  std::size_t request_count() const { return request_count_; }
  void CountRequest() { ++request_count_; }

 private:
  boost::asio::ip::tcp::socket& socket_;
  const std::atomic<bool>& stopping_;
  std::size_t request_count_ = 0;
};

/// Passes each request to a handler on a thread of the connection. A health
/// check is answered with status 200 and the instance.
class RawBackend {
 public:
  /// Gets the id of the request, and writes whatever the test needs.
  using Handler =
      std::function<void(const std::string& id, RawConnection& connection)>;

  RawBackend(const state::Endpoint& listen,
             std::string instance,
             Handler handler);
  ~RawBackend();

  RawBackend(const RawBackend&) = delete;
  RawBackend& operator=(const RawBackend&) = delete;

  /// \returns how often the request \p id was received.
  std::size_t CountExecutions(const std::string& id) const;
  /// A complete answer to the request \p id.
  std::string AnswerTo(const std::string& id) const;

 private:
  void Serve(boost::asio::ip::tcp::socket socket);

  const std::string instance_;
  const Handler handler_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<bool> stopping_ = false;
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  std::vector<std::string> executed_ids_;
  std::list<std::thread> connections_;
  std::thread acceptor_thread_;
};

}  // namespace sesamespread::test

#endif  // SESAMESPREAD_TEST_ROUTE_NODE_RAW_BACKEND_H_
