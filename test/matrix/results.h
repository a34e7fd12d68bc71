/// \file
/// Records the results of the cells of the fault matrix and prints them.
#ifndef SESAMESPREAD_TEST_MATRIX_RESULTS_H_
#define SESAMESPREAD_TEST_MATRIX_RESULTS_H_

#include <string>
#include <vector>

namespace sesamespread::matrix {

enum class Verdict { kHolds, kRed, kNotTried };

struct CellResult {
  std::string step;
  std::string fault;
  Verdict verdict = Verdict::kHolds;
  std::string detail;
};

/// Prints the line of a cell and stores its result for PrintTable. Not safe to
/// call from several threads.
void Report(CellResult result);

/// Calls Report for the line that another process printed for a cell.
/// \returns false if \p line is not such a line. Safe to call from several
/// threads.
bool ReportLine(const std::string& line);

/// Whether KNOWN-RED.txt lists "cell: <step> <fault>".
bool IsKnownRed(const std::string& step, const std::string& fault);

/// Prints the table of results and the line of totals; nothing if no cell ran.
void PrintTable();

}  // namespace sesamespread::matrix

#endif  // SESAMESPREAD_TEST_MATRIX_RESULTS_H_
