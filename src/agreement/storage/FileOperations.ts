import type { OpenFile } from './OpenFile.js'

/** File operations used by the storage of a replica. */
export interface FileOperations {
  /** Creates a folder and its parents, unless it exists. */
  makeFolder (folder: string): Promise<void>
  /** @returns names of the files in a folder, without their paths */
  list (folder: string): Promise<string[]>
  /** @returns the content of a file, undefined if the file does not exist */
  read (path: string): Promise<Buffer | undefined>
  /** Opens a file for appending, created if missing. */
  open (path: string): Promise<OpenFile>
  /** Renames a file, replacing a file of the new name. */
  rename (from: string, to: string): Promise<void>
  /** Deletes a file, if it exists. */
  remove (path: string): Promise<void>
  /** Waits until creations and renames in a folder are durable. */
  syncFolder (folder: string): Promise<void>
}
