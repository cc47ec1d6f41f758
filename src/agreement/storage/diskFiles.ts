import { mkdir, open, readdir, readFile, rename, rm, type FileHandle } from 'node:fs/promises'
import type { FileOperations } from './FileOperations.js'
import type { OpenFile } from './OpenFile.js'

class DiskFile implements OpenFile {
  readonly #handle: FileHandle

  constructor (handle: FileHandle) {
    this.#handle = handle
  }

  async append (data: Buffer): Promise<void> {
    await this.#handle.appendFile(data)
  }

  async sync (): Promise<void> {
    await this.#handle.sync()
  }

  async close (): Promise<void> {
    await this.#handle.close()
  }
}

async function readIfPresent (path: string): Promise<Buffer | undefined> {
  try {
    return await readFile(path)
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined
    throw error
  }
}

async function syncFolder (folder: string): Promise<void> {
  const handle = await open(folder, 'r')
  try {
    await handle.sync()
  } finally {
    await handle.close()
  }
}

/** File operations on the disk of this host. */
export const diskFiles: FileOperations = {
  makeFolder: async (folder) => { await mkdir(folder, { recursive: true }) },
  list: (folder) => readdir(folder),
  read: readIfPresent,
  open: async (path) => new DiskFile(await open(path, 'a')),
  rename,
  remove: (path) => rm(path, { force: true }),
  syncFolder
}
