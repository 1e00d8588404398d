#pragma once

/**
 * Module storage: durable storage of a control replica in its data folder.
 *
 * LogStore stores the hard state and the log entries, SnapshotStore the snapshots and IdentityFile
 * the replica's identity; all of them access files through FileOperations. FolderLock keeps a
 * second process from using the folder. Depends on core, faults and generated.
 */

#include "storage/FileOperations.h"
#include "storage/FolderLock.h"
#include "storage/IdentityFile.h"
#include "storage/LogStore.h"
#include "storage/SnapshotStore.h"
