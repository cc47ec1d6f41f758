import { join } from 'node:path'
import { encodeFrame } from '../storage/encodeFrame.js'
import type { FileOperations } from '../storage/FileOperations.js'
import { readRecord } from '../storage/readRecord.js'
import { writeFileAtomically } from '../storage/writeFileAtomically.js'
import type { StoredSheet } from './StoredSheet.js'

const SHEET_FILE_NAME = 'sheet-in-force'

/** Stores the sheet in force on the disk of this host. */
export class SheetStore {
  readonly #files: FileOperations
  readonly #folder: string

  /**
   * @param files - file operations
   * @param folder - folder of the file
   */
  constructor (files: FileOperations, folder: string) {
    this.#files = files
    this.#folder = folder
  }

  /** @returns the stored sheet, undefined if there is none */
  async load (): Promise<StoredSheet | undefined> {
    await this.#files.makeFolder(this.#folder)
    return readRecord<StoredSheet>(this.#files, join(this.#folder, SHEET_FILE_NAME))
  }

  /** Makes a sheet durable. */
  async save (stored: StoredSheet): Promise<void> {
    await writeFileAtomically(this.#files, join(this.#folder, SHEET_FILE_NAME), encodeFrame(Buffer.from(JSON.stringify(stored))))
  }
}
