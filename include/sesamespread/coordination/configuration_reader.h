/// \file
/// Reads the configuration from the platform's table, for the verbs and for the
/// node's platform thread. All functions throw Error with kPlatformUnavailable
/// or kUnauthorized if the platform can't be read.
#ifndef SESAMESPREAD_COORDINATION_CONFIGURATION_READER_H_
#define SESAMESPREAD_COORDINATION_CONFIGURATION_READER_H_

#include <cstddef>
#include <vector>

#include "sesamespread/coordination/configuration_rows.h"
#include "sesamespread/coordination/table_store.h"
#include "sesamespread/state/configuration.h"

namespace sesamespread::coordination {

/// Rows asked for in one range read.
inline constexpr std::size_t kRowsPerRead = 500;

/// The head; version 0 if there is none yet. One read.
ConfigurationHead ReadHead(TableStore& store);

/// Change records of the versions after \p version, in ascending order, at most
/// \p limit.
std::vector<ChangeRecord> ReadChangesAfter(TableStore& store,
                                           state::ConfigurationVersion version,
                                           std::size_t limit);

/// The content in force. Range reads are not one transaction, so the content is
/// accepted only if its digest is the head's, and read again otherwise.
state::Configuration ReadContent(TableStore& store);

/// The content of an older version, rebuilt from the content in force and the
/// change records in between; its digest is verified. \throws Error with
/// kVersionNotFound if there is no such version.
state::Configuration ReadContentAt(TableStore& store,
                                   state::ConfigurationVersion version);

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_CONFIGURATION_READER_H_
