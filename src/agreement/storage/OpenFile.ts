/** A file that is open for appending. */
export interface OpenFile {
  /** Writes data at the end of the file. */
  append (data: Buffer): Promise<void>
  /** Waits until everything written is durable. */
  sync (): Promise<void>
  close (): Promise<void>
}
