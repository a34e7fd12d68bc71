/// \file
/// Guards against records that are not read back as stored, and against records
/// that the index no longer finds after others were erased.
#include "sesamespread/coordination/node_table.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace sesamespread::coordination {
namespace {

state::NodeRecord MakeRecord(std::uint64_t i) {
  state::NodeRecord record;
  record.node = i * 64;  // Makes ids collide in the index.
  record.incarnation = i + 1;
  record.sequence = static_cast<std::uint32_t>(i % 5);
  record.name = "host-" + std::to_string(i);
  record.zone = "zone-" + std::to_string(i % 21);
  record.peer = {"10.1.2." + std::to_string(i % 256), 7001};
  record.gossip = {i % 2 ? "2001:db8::7" : record.peer.address, 7002};
  record.service = "service-" + std::to_string(i % 100);
  record.backend_state = static_cast<state::BackendState>(i % 4);
  record.liveness = static_cast<state::Liveness>(i % 3);
  return record;
}

TEST(NodeTableTest, MatchesAReferenceMap) {
  std::mt19937_64 random(3);
  NodeTable table;
  std::map<state::NodeId, state::NodeRecord> model;
  for (int round = 0; round < 50'000; ++round) {
    state::NodeRecord record = MakeRecord(random() % 700);
    record.sequence = static_cast<std::uint32_t>(random() % 100);
    const auto slot = table.Find(record.node);
    ASSERT_EQ(slot.has_value(), model.count(record.node) > 0);
    if (slot && random() % 2 == 0) {
      ASSERT_EQ(table.Get(*slot), model[record.node]);
      table.Erase(*slot);
      model.erase(record.node);
      continue;
    }
    ASSERT_TRUE(table.Put(record));
    model[record.node] = record;
  }
  EXPECT_EQ(table.size(), model.size());
  for (const auto& [node, record] : model)
    EXPECT_EQ(table.Get(*table.Find(node)), record);
}

TEST(NodeTableTest, RejectsEmptyNamesAndNonNumericAddresses) {
  NodeTable table;
  state::NodeRecord record = MakeRecord(1);
  record.name.clear();
  EXPECT_FALSE(table.Put(record));
  record = MakeRecord(1);
  record.gossip.address = "host.example";
  EXPECT_FALSE(table.Put(record));
  EXPECT_EQ(table.size(), 0u);
}

}  // namespace
}  // namespace sesamespread::coordination
