#pragma once

#include "stored/stored_job.h"

namespace sapphirecrank::storage {
class ByteReader;
class ByteWriter;
}  // namespace sapphirecrank::storage

namespace sapphirecrank::stored {

// Encoding of jobs in the group's log and its snapshots. If the bytes end too early, the reader's
// `ok()` is false afterwards and the returned value must not be used. Thread safety: pure.

void WriteJob(storage::ByteWriter& writer, const gateway::Job& job);
gateway::Job ReadJob(storage::ByteReader& reader);

void WriteStoredJob(storage::ByteWriter& writer, const StoredJob& stored);
StoredJob ReadStoredJob(storage::ByteReader& reader);

}  // namespace sapphirecrank::stored
