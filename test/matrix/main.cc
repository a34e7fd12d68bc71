/// \file
/// Runs the cells and prints the table after them.
#include <gtest/gtest.h>

#include "results.h"
#include "world.h"

int main(int argc, char** argv) {
  ::testing::InitGoogleTest(&argc, argv);
  const int exit_code = RUN_ALL_TESTS();
  sesamespread::matrix::World::Reset();
  sesamespread::matrix::PrintTable();
  return exit_code;
}
