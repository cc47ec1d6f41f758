import { join } from 'node:path'
import { encodeFrame } from './encodeFrame.js'
import type { FileOperations } from './FileOperations.js'
import type { IdentityRecord } from './IdentityRecord.js'
import { ReplicaFile } from './ReplicaFile.js'
import { writeFileAtomically } from './writeFileAtomically.js'

/**
 * Makes the data folder that of a new replica that has joined no group. The other files are not read until that replica
 * joins one, and are replaced then, so a crash at any moment leaves either the old replica or the new one.
 *
 * @param files - file operations
 * @param folder - data folder of a replica that is stopped
 * @param identity - random identity of the new replica
 */
export async function resetIdentity (files: FileOperations, folder: string, identity: string): Promise<void> {
  const record: IdentityRecord = { identity, joined: false }
  await writeFileAtomically(files, join(folder, ReplicaFile.Identity), encodeFrame(Buffer.from(JSON.stringify(record))))
}
