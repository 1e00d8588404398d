#pragma once

/**
 * Module storage: what a control replica keeps in its data folder.
 *
 * LogStore holds the hard state and the log entries, SnapshotStore the snapshots, IdentityFile the
 * replica's identity, FolderLock keeps a second process out. All other file access goes through
 * FileOperations. Depends on core and generated.
 */

#include "storage/FileOperations.h"
#include "storage/FolderLock.h"
#include "storage/IdentityFile.h"
#include "storage/LogStore.h"
#include "storage/SnapshotStore.h"
