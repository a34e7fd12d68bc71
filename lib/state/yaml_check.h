/// \file
/// Checks a YAML document against a schema table.
#ifndef SESAMESPREAD_LIB_STATE_YAML_CHECK_H_
#define SESAMESPREAD_LIB_STATE_YAML_CHECK_H_

#include <yaml-cpp/yaml.h>

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "sesamespread/state/schema.h"
#include "sesamespread/state/settings.h"

namespace sesamespread::state {

/// Collects the faults of one file.
class DiagnosticSink {
 public:
  DiagnosticSink(std::string file, std::vector<Diagnostic>* out)
      : file_(std::move(file)), out_(out) {}

  const std::string& file() const { return file_; }
  void Add(const YAML::Mark& mark,
           std::string message,
           std::string nearest = {});

 private:
  std::string file_;
  std::vector<Diagnostic>* out_;
};

/// Parses \p source as one document and checks it against \p schema. \returns
/// the document, or nullopt if it is no map; faults of fields don't matter.
std::optional<YAML::Node> CheckDocument(const SourceText& source,
                                        std::span<const SchemaRow> schema,
                                        DiagnosticSink& sink);

/// "" if \p text is a valid value of \p row, else what is wrong with it.
std::string ScalarFault(const SchemaRow& row, const std::string& text);

/// Decimal number without sign; nullopt for anything else.
std::optional<std::uint64_t> ParseNumber(std::string_view text);

/// Parses "127.0.0.1" or "::1".
bool IsAddress(const std::string& text);

/// The row of \p path. \pre it exists.
const SchemaRow& RowOf(std::span<const SchemaRow> schema,
                       std::string_view path);

/// Scalar text of the field, or the row's default if it is absent or invalid.
std::string TextOr(const YAML::Node& map,
                   const char* key,
                   const SchemaRow& row);

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_LIB_STATE_YAML_CHECK_H_
