/// \file
/// Reads the configuration from the platform's table, for the commands of the
/// command-line tool and for the node's platform thread. All functions throw
/// state::Error with kPlatformUnavailable or kUnauthorized if the platform
/// cannot be read.
#ifndef SESAMESPREAD_COORDINATION_CONFIGURATION_READER_H_
#define SESAMESPREAD_COORDINATION_CONFIGURATION_READER_H_

#include <cstddef>
#include <vector>

#include "sesamespread/coordination/configuration_rows.h"
#include "sesamespread/coordination/table_store.h"
#include "sesamespread/state/configuration.h"

namespace sesamespread::coordination {

/// Limit of rows in one range read.
inline constexpr std::size_t kRowsPerRead = 500;

/// Reads the head row; version 0 if there is none yet. Makes one read.
ConfigurationHead ReadHead(TableStore& store);

/// Reads the change records of the versions after \p version, in ascending
/// order, at most \p limit.
std::vector<ChangeRecord> ReadChangesAfter(TableStore& store,
                                           state::ConfigurationVersion version,
                                           std::size_t limit);

/// Reads the content in force. The reads of the head and of the ranges are not
/// one transaction, so the content is accepted only if its digest equals that
/// of the head, and is read again otherwise.
state::Configuration ReadContent(TableStore& store);

/// The content of \p version, rebuilt from the content in force and the change
/// records in between; its digest is verified. \throws state::Error with
/// kVersionNotFound if there is no such version or its history is incomplete,
/// and with kConfigurationInvalid if the digest does not match.
state::Configuration ReadContentAt(TableStore& store,
                                   state::ConfigurationVersion version);

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_CONFIGURATION_READER_H_
