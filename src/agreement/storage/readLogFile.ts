import { ReplicaStorageError } from '../../errors/ReplicaStorageError.js'
import { errorTexts } from '../../errors/errorTexts.js'
import { LogTail } from '../LogTail.js'
import type { LogFrame } from './LogFrame.js'
import { readFrames } from './readFrames.js'

/** Content of a log file. */
export interface LogFileContent {
  tail: LogTail
  /** Number of bytes of an interrupted write at its end. */
  tornBytes: number
}

/**
 * @param content - bytes of the log file
 * @param path - path of the file, named in errors
 * @returns its entries and the length of its torn part
 * @throws {@link ReplicaStorageError} when the file is damaged other than by an interrupted last write
 */
export function readLogFile (content: Buffer, path: string): LogFileContent {
  const { payloads, tornBytes, isCorrupt } = readFrames(content)
  const frames = payloads.map((payload) => JSON.parse(payload.toString()) as LogFrame)
  const base = frames[0]?.base
  if (isCorrupt || base === undefined) throw new ReplicaStorageError(errorTexts.replicaFileCorrupt(path), path)
  const tail = new LogTail(base)
  for (const { entries } of frames) {
    const first = entries[0]
    if (first === undefined) continue
    if (first.index > tail.last.index + 1) throw new ReplicaStorageError(errorTexts.replicaFileCorrupt(path), path)
    tail.append(entries)
  }
  return { tail, tornBytes }
}
