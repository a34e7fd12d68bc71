/// \file
/// Forwards bytes between pairs of sockets and injects faults.
#include "harness/fault_proxy.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <string>
#include <utility>

#include "sesamespread/transport/acceptor.h"

namespace sesamespread::bench {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kChunkBytes = 16 << 10;

/// Interval of the checks whether held bytes may be forwarded.
constexpr std::chrono::milliseconds kHoldPollInterval{5};

void Reset(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

// One forwarded connection, with a pump for each direction.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket source,
          boost::asio::io_context& context,
          std::shared_ptr<const ProxyFault> fault)
      : fault_(std::move(fault)),
        source_(std::move(source)),
        target_(context),
        requests_{source_,
                  target_,
                  &ProxyFault::holds_requests,
                  boost::asio::steady_timer(context),
                  {}},
        answers_{target_,
                 source_,
                 &ProxyFault::holds_answers,
                 boost::asio::steady_timer(context),
                 {}},
        repeat_timer_(context) {}

  void Start(const tcp::endpoint& target) {
    target_.async_connect(
        target, [self = shared_from_this()](const error_code& error) {
          if (error)
            return self->End();
          error_code ignored;
          self->source_.set_option(tcp::no_delay(true), ignored);
          self->target_.set_option(tcp::no_delay(true), ignored);
          self->Read(self->requests_);
          self->Read(self->answers_);
        });
  }

  void End() {
    Reset(source_);
    Reset(target_);
  }

  void Stall() { is_stalled_ = true; }
  bool is_open() const { return source_.is_open(); }

 private:
  struct Pump {
    tcp::socket& from;
    tcp::socket& to;
    bool ProxyFault::*holds;
    boost::asio::steady_timer timer;
    std::array<char, kChunkBytes> chunk;
  };

  void Read(Pump& pump) {
    pump.from.async_read_some(boost::asio::buffer(pump.chunk),
                              [self = shared_from_this(), &pump](
                                  const error_code& error, std::size_t size) {
                                if (error == boost::asio::error::eof)
                                  return self->Forward(pump, 0,
                                                       self->fault_->delay);
                                if (error)
                                  return self->End();
                                self->Forward(pump, size, self->fault_->delay);
                              });
  }

  // Forwards the first `size` bytes of the chunk after `delay`, once no fault
  // holds them. Size 0 stands for the end of the stream.
  void Forward(Pump& pump, std::size_t size, std::chrono::milliseconds delay) {
    const bool is_held = is_stalled_ || *fault_.*pump.holds;
    if (!is_held && delay.count() == 0)
      return size == 0 ? HalfClose(pump) : Write(pump, size);
    pump.timer.expires_after(is_held ? kHoldPollInterval : delay);
    pump.timer.async_wait(
        [self = shared_from_this(), &pump, size](const error_code& error) {
          if (!error && self->is_open())
            self->Forward(pump, size, std::chrono::milliseconds(0));
        });
  }

  void Write(Pump& pump, std::size_t size) {
    const AnswerFault fault =
        &pump == &answers_ ? fault_->answer_fault : AnswerFault::kNone;
    if (fault == AnswerFault::kEndless)
      return WriteWithoutEnd(pump);
    const std::size_t forwarded =
        fault == AnswerFault::kBreaksOff ? size / 2 : size;
    is_writing_answer_ = is_writing_answer_ || &pump == &answers_;
    boost::asio::async_write(
        pump.to, boost::asio::buffer(pump.chunk, forwarded),
        [self = shared_from_this(), &pump, fault, size](const error_code& error,
                                                        std::size_t) {
          if (&pump == &self->answers_)
            self->is_writing_answer_ = false;
          if (error || fault == AnswerFault::kBreaksOff)
            return self->End();
          if (fault == AnswerFault::kRepeats)
            self->RepeatLater(std::string(pump.chunk.data(), size));
          self->Read(pump);
        });
  }

  // Writes until the client closes the connection.
  void WriteWithoutEnd(Pump& pump) {
    pump.chunk.fill('x');
    boost::asio::async_write(pump.to, boost::asio::buffer(pump.chunk),
                             [self = shared_from_this(), &pump](
                                 const error_code& error, std::size_t) {
                               if (error)
                                 return self->End();
                               self->WriteWithoutEnd(pump);
                             });
  }

  // A copy that is due during another write is dropped, so that it is never
  // written into the middle of a chunk.
  void RepeatLater(std::string bytes) {
    repeat_timer_.expires_after(kRepeatDelay);
    repeat_timer_.async_wait(
        [self = shared_from_this(),
         bytes = std::move(bytes)](const error_code& error) {
          if (error || self->is_writing_answer_ || !self->is_open())
            return;
          error_code ignored;
          self->source_.write_some(boost::asio::buffer(bytes), ignored);
        });
  }

  void HalfClose(Pump& pump) {
    error_code ignored;
    pump.to.shutdown(tcp::socket::shutdown_send, ignored);
    if (++half_closed_count_ == 2)
      End();
  }

  const std::shared_ptr<const ProxyFault> fault_;
  tcp::socket source_;
  tcp::socket target_;
  Pump requests_;
  Pump answers_;
  boost::asio::steady_timer repeat_timer_;
  bool is_writing_answer_ = false;
  bool is_stalled_ = false;
  // Directions whose end of stream has been forwarded.
  int half_closed_count_ = 0;
};

}  // namespace

ProxyThread::ProxyThread() : thread_([this] { context_.run(); }) {}

ProxyThread::~ProxyThread() {
  context_.stop();
  thread_.join();
}

class FaultProxy::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& context,
       const state::Endpoint& listen,
       const state::Endpoint& target)
      : context_(context),
        acceptor_(context),
        target_(transport::ToTcpEndpoint(target)) {
    transport::OpenAcceptor(acceptor_, listen);
  }

  void Accept() {
    acceptor_.async_accept([self = shared_from_this()](const error_code& error,
                                                       tcp::socket socket) {
      if (error)
        return;
      self->OnAccepted(std::move(socket));
      self->Accept();
    });
  }

  void SetFault(const ProxyFault& fault) { *fault_ = fault; }

  template <typename Action>
  void ForEach(Action action) {
    std::erase_if(sessions_, [&action](const std::weak_ptr<Session>& weak) {
      const auto session = weak.lock();
      if (!session || !session->is_open())
        return true;
      action(*session);
      return false;
    });
  }

  void Close() {
    error_code ignored;
    acceptor_.close(ignored);
    ForEach([](Session& session) { session.End(); });
  }

 private:
  void OnAccepted(tcp::socket socket) {
    if (fault_->refuses)
      return Reset(socket);
    auto session =
        std::make_shared<Session>(std::move(socket), context_, fault_);
    ForEach([](Session&) {});
    sessions_.push_back(session);
    session->Start(target_);
  }

  boost::asio::io_context& context_;
  tcp::acceptor acceptor_;
  const tcp::endpoint target_;
  const std::shared_ptr<ProxyFault> fault_ = std::make_shared<ProxyFault>();
  std::list<std::weak_ptr<Session>> sessions_;
};

FaultProxy::FaultProxy(ProxyThread& thread,
                       const state::Endpoint& listen,
                       const state::Endpoint& target)
    : listen_(listen),
      context_(thread.context()),
      impl_(std::make_shared<Impl>(context_, listen, target)) {
  boost::asio::post(context_, [impl = impl_] { impl->Accept(); });
}

FaultProxy::~FaultProxy() {
  boost::asio::post(context_, [impl = impl_] { impl->Close(); });
}

void FaultProxy::SetFault(const ProxyFault& fault) {
  boost::asio::post(context_, [impl = impl_, fault] { impl->SetFault(fault); });
}

void FaultProxy::ResetConnections() {
  boost::asio::post(context_, [impl = impl_] {
    impl->ForEach([](Session& session) { session.End(); });
  });
}

void FaultProxy::StallConnections() {
  boost::asio::post(context_, [impl = impl_] {
    impl->ForEach([](Session& session) { session.Stall(); });
  });
}

}  // namespace sesamespread::bench
