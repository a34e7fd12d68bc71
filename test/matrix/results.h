/// \file
/// Outcomes of the matrix's cells and their report.
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

/// Prints the line of a cell and keeps it for the report.
void Report(CellResult result);

/// Does the same for the line that another process printed for a cell.
/// \returns false if \p line is not one. Safe to call from several threads.
bool ReportLine(const std::string& line);

/// Whether KNOWN-RED.txt lists "cell: <step> <fault>".
bool IsKnownRed(const std::string& step, const std::string& fault);

/// Prints the table and the last line; nothing if no cell was run.
void PrintTable();

}  // namespace sesamespread::matrix

#endif  // SESAMESPREAD_TEST_MATRIX_RESULTS_H_
