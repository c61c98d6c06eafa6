#pragma once

#include "stored/stored_job.h"

namespace sapphirecrank::storage {
class ByteReader;
class ByteWriter;
}  // namespace sapphirecrank::storage

namespace sapphirecrank::stored {

// Encoding of jobs in the group's log and its snapshots. A reader whose bytes end too early says so
// itself. Thread safety: pure.

void WriteJob(storage::ByteWriter& writer, const gateway::Job& job);
gateway::Job ReadJob(storage::ByteReader& reader);

void WriteStoredJob(storage::ByteWriter& writer, const StoredJob& stored);
StoredJob ReadStoredJob(storage::ByteReader& reader);

}  // namespace sapphirecrank::stored
