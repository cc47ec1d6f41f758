import type { FileOperations } from './FileOperations.js'
import { ReplicaStorageError } from '../../errors/ReplicaStorageError.js'
import { errorTexts } from '../../errors/errorTexts.js'
import { decodeFrame } from './decodeFrame.js'

/**
 * Reads a file that holds one frame with one JSON value.
 *
 * @param files - file operations
 * @param path - path of the file, named in errors
 * @returns the value, undefined if the file does not exist
 * @throws {@link ReplicaStorageError} when the file is corrupt
 */
export async function readRecord<Content> (files: FileOperations, path: string): Promise<Content | undefined> {
  const content = await files.read(path)
  if (content === undefined) return undefined
  const frame = decodeFrame(content, 0)
  if (frame === undefined || frame.endOffset !== content.length) throw new ReplicaStorageError(errorTexts.replicaFileCorrupt(path), path)
  return JSON.parse(frame.payload.toString()) as Content
}
