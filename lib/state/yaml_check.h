/// \file
/// Validates a YAML document against a schema table.
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

/// Collects the errors of one file.
class DiagnosticSink {
 public:
  DiagnosticSink(std::string file, std::vector<Diagnostic>* out)
      : file_(std::move(file)), out_(out) {}

  const std::string& file() const { return file_; }
  /// Reports an error at \p mark; \p nearest is the suggested name, if any.
  void Add(const YAML::Mark& mark,
           std::string message,
           std::string nearest = {});

 private:
  std::string file_;
  std::vector<Diagnostic>* out_;
};

/// Parses \p source as one document, validates it against \p schema and reports
/// all errors to \p sink. \returns the document, or nullopt if it can't be
/// parsed or is not a map. A document with invalid fields is returned as well.
std::optional<YAML::Node> CheckDocument(const SourceText& source,
                                        std::span<const SchemaRow> schema,
                                        DiagnosticSink& sink);

/// \returns the error message for \p text as a value of \p row; "" if the value
/// is valid. \pre the type of \p row is a scalar or a list of scalars.
std::string ValidateScalar(const SchemaRow& row, const std::string& text);

/// Parses a whole decimal number without a sign; nullopt for anything else.
std::optional<std::uint64_t> ParseNumber(std::string_view text);

/// Parses a decimal number without a sign or exponent; nullopt for anything
/// else.
std::optional<double> ParseDecimal(std::string_view text);

/// True if \p text is a numeric IP address such as "127.0.0.1" or "::1".
bool IsAddress(const std::string& text);

/// The row with the path \p path. \pre the row exists.
const SchemaRow& RowOf(std::span<const SchemaRow> schema,
                       std::string_view path);

/// Reads the fields of a document that was already validated. An absent or
/// invalid field has its default value.
class DocumentReader {
 public:
  DocumentReader(std::span<const SchemaRow> schema, const YAML::Node& root)
      : schema_(schema), root_(root) {}

  /// The YAML node at a path such as "listen.caller"; undefined if it is
  /// absent.
  YAML::Node Find(const std::string& path) const;
  /// The scalar text of the field, or its default value.
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
std::string TextOrDefault(const YAML::Node& map,
                          const char* key,
                          const SchemaRow& row);

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_LIB_STATE_YAML_CHECK_H_
