/// \file
/// Fuzzes the decoder of gossip datagrams; an accepted datagram must survive
/// encoding and decoding.
#include "mutated_message.h"
#include "sesamespread/protocol/codec.h"

namespace {

using namespace sesamespread;

std::vector<std::string> Originals() {
  state::NodeRecord record;
  record.node = 5;
  record.name = "orders-1";
  record.zone = "zone-a";
  record.peer = {"127.0.0.1", 80};
  record.gossip = {"::1", 81};
  record.service = "orders";
  protocol::GossipMessage message;
  message.from = record;
  message.target = record;
  message.updates = {record};
  return {protocol::EncodeDatagram(message)};
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  static const std::vector<std::string> kOriginals = Originals();
  const auto datagram = fuzz::MutatedMessage(kOriginals, data, size);
  const auto message = protocol::DecodeDatagram(datagram);
  if (!message)
    return 0;
  const std::string again = protocol::EncodeDatagram(*message);
  const auto decoded = protocol::DecodeDatagram(
      {reinterpret_cast<const std::uint8_t*>(again.data()), again.size()});
  if (decoded != message)
    __builtin_trap();
  return 0;
}
