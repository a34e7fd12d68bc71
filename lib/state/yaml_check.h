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

/// Decimal number without sign or exponent; nullopt for anything else.
std::optional<double> ParseDecimal(std::string_view text);

/// Parses "127.0.0.1" or "::1".
bool IsAddress(const std::string& text);

/// The row of \p path. \pre it exists.
const SchemaRow& RowOf(std::span<const SchemaRow> schema,
                       std::string_view path);

/// Reads the fields of a document whose faults are already reported.
class DocumentReader {
 public:
  DocumentReader(std::span<const SchemaRow> schema, const YAML::Node& root)
      : schema_(schema), root_(root) {}

  /// The node of "listen.caller"; not defined if absent.
  YAML::Node Find(const std::string& path) const;
  /// The field's text, or its default.
  std::string Text(const std::string& path) const;
  std::uint64_t Number(const std::string& path) const;
  std::uint32_t Count(const std::string& path) const;
  Duration Time(const std::string& path) const;
  Duration DecimalTime(const std::string& path) const;
  double Share(const std::string& path) const;
  Endpoint Address(const std::string& path) const;

 private:
  std::span<const SchemaRow> schema_;
  YAML::Node root_;
};

/// Scalar text of the field, or the row's default if it is absent or invalid.
std::string TextOr(const YAML::Node& map,
                   const char* key,
                   const SchemaRow& row);

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_LIB_STATE_YAML_CHECK_H_
