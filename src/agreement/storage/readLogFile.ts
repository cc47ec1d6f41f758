import { ReplicaStorageError } from '../../errors/ReplicaStorageError.js'
import { errorTexts } from '../../errors/errorTexts.js'
import { LogTail } from '../LogTail.js'
import type { LogFrame } from './LogFrame.js'
import { readFrames } from './readFrames.js'

/** What a log file holds. */
export interface LogFileContent {
  tail: LogTail
  /** Length of the intact part, in bytes. */
  intactBytes: number
  /** Bytes after it, from an interrupted write. */
  tornBytes: number
}

/**
 * @param content - bytes of the log file
 * @param path - the file, for errors
 * @returns its entries
 * @throws {@link ReplicaStorageError} when anything but an interrupted last write is damaged
 */
export function readLogFile (content: Buffer, path: string): LogFileContent {
  const { payloads, intactBytes, tornBytes, isCorrupt: corrupt } = readFrames(content)
  const frames = payloads.map((payload) => JSON.parse(payload.toString()) as LogFrame)
  const base = frames[0]?.base
  if (corrupt || base === undefined) throw new ReplicaStorageError(errorTexts.replicaFileCorrupt(path), path)
  const tail = new LogTail(base)
  for (const { entries } of frames) {
    const first = entries[0]
    if (first === undefined) continue
    if (first.index > tail.last.index + 1) throw new ReplicaStorageError(errorTexts.replicaFileCorrupt(path), path)
    tail.append(entries)
  }
  return { tail, intactBytes, tornBytes }
}
