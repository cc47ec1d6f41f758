import type { FileOperations } from '../../../src/agreement/storage/FileOperations.js'
import type { OpenFile } from '../../../src/agreement/storage/OpenFile.js'

const SECTOR_BYTES = 512

interface Inode { cached: Buffer, durable: Buffer }

/** Effects of a fault on the file operation at which it is set. */
export enum Fault {
  /** The operation and all changes after it fail without effect: a full or broken disk. */
  Error = 'error',
  /** The operation fails without effect, and the next ones succeed: in this way a failed sync may hide lost data. */
  ErrorOnce = 'error-once',
  /** The process ends during the operation; an append writes only part of its data. */
  Crash = 'crash'
}

/** Files in memory that distinguish written and durable data. */
export class MemoryFiles implements FileOperations {
  /** Number of operations so far that change files. */
  operationCount = 0
  faultAtOperation = Number.POSITIVE_INFINITY
  fault = Fault.Error
  hasCrashed = false
  /** Duration of a sync of data in milliseconds; 0 for none. */
  syncMilliseconds = 0
  /** Paths of the files whose syncs take that long. */
  slowPathPattern = /./
  readonly #random: () => number
  #cachedFiles = new Map<string, Inode>()
  #durableFiles = new Map<string, Inode>()
  #pendingChanges: Array<(names: Map<string, Inode>) => void> = []

  /** @param random - decides which data that is not durable survives a crash */
  constructor (random: () => number) {
    this.#random = random
  }

  async makeFolder (): Promise<void> {}

  async list (folder: string): Promise<string[]> {
    return [...this.#cachedFiles.keys()].filter((path) => path.startsWith(folder)).map((path) => path.slice(folder.length + 1))
  }

  async read (path: string): Promise<Buffer | undefined> {
    this.#refuseCrashed()
    const inode = this.#cachedFiles.get(path)
    return inode === undefined ? undefined : Buffer.from(inode.cached)
  }

  async open (path: string): Promise<OpenFile> {
    this.#countOperation()
    const existing = this.#cachedFiles.get(path)
    const inode = existing ?? { cached: Buffer.alloc(0), durable: Buffer.alloc(0) }
    if (existing === undefined) this.#changeNames((names) => names.set(path, inode))
    return {
      append: async (data) => {
        this.#countOperation(() => { inode.cached = Buffer.concat([inode.cached, data.subarray(0, Math.floor(this.#random() * data.length))]) })
        inode.cached = Buffer.concat([inode.cached, data])
      },
      sync: async () => {
        this.#countOperation()
        const written = inode.cached
        if (this.syncMilliseconds > 0 && this.slowPathPattern.test(path)) await new Promise((resolve) => { setTimeout(resolve, this.syncMilliseconds) })
        this.#refuseCrashed()
        inode.durable = written
      },
      close: async () => {}
    }
  }

  async rename (from: string, to: string): Promise<void> {
    this.#countOperation()
    const inode = this.#cachedFiles.get(from) as Inode
    this.#changeNames((names) => {
      names.delete(from)
      names.set(to, inode)
    })
  }

  async remove (path: string): Promise<void> {
    this.#countOperation()
    if (this.#cachedFiles.has(path)) this.#changeNames((names) => { names.delete(path) })
  }

  async syncFolder (): Promise<void> {
    this.#countOperation()
    this.#durableFiles = new Map(this.#cachedFiles)
    this.#pendingChanges = []
  }

  /** Ends the process: all later operations on this object fail. */
  crash (): void {
    this.hasCrashed = true
  }

  /** @returns the files that a restarted process finds after a crash without a power loss: all that was written, durable or not */
  restartProcess (): MemoryFiles {
    const restarted = new MemoryFiles(this.#random)
    restarted.syncMilliseconds = this.syncMilliseconds
    restarted.#cachedFiles = this.#cachedFiles
    restarted.#durableFiles = this.#durableFiles
    restarted.#pendingChanges = this.#pendingChanges
    return restarted
  }

  /** @returns the files that a restarted process finds after a crash or a power loss */
  createSurvivor (): MemoryFiles {
    const survivor = new MemoryFiles(this.#random)
    survivor.syncMilliseconds = this.syncMilliseconds
    const names = new Map(this.#durableFiles)
    const survivingChanges = Math.floor(this.#random() * (this.#pendingChanges.length + 1))
    for (const change of this.#pendingChanges.slice(0, survivingChanges)) change(names)
    for (const [path, inode] of names) {
      const content = this.#pickSurvivingContent(inode)
      const copy = { cached: content, durable: content }
      survivor.#cachedFiles.set(path, copy)
      survivor.#durableFiles.set(path, copy)
    }
    return survivor
  }

  /** Changes the bytes of a file, as a damaged disk does. */
  damage (path: string, change: (content: Buffer) => Buffer): void {
    const inode = this.#cachedFiles.get(path) as Inode
    inode.cached = change(Buffer.from(inode.cached))
    inode.durable = inode.cached
  }

  /** Deletes all files. */
  wipe (): void {
    this.#cachedFiles.clear()
    this.#durableFiles.clear()
    this.#pendingChanges = []
  }

  #pickSurvivingContent ({ cached, durable }: Inode): Buffer {
    if (cached.length <= durable.length) return this.#random() < 0.5 ? cached : durable
    const length = durable.length + Math.floor(this.#random() * (cached.length - durable.length + 1))
    const content = Buffer.from(cached.subarray(0, length))
    const firstSector = Math.ceil(durable.length / SECTOR_BYTES)
    for (let sector = firstSector; sector * SECTOR_BYTES < length; sector += 1) {
      if (this.#random() < 0.2) content.fill(0, sector * SECTOR_BYTES, Math.min(length, (sector + 1) * SECTOR_BYTES))
    }
    return content
  }

  #changeNames (change: (names: Map<string, Inode>) => void): void {
    change(this.#cachedFiles)
    this.#pendingChanges.push(change)
  }

  #countOperation (partially?: () => void): void {
    this.#refuseCrashed()
    this.operationCount += 1
    if (this.operationCount < this.faultAtOperation) return
    if (this.fault === Fault.ErrorOnce) this.faultAtOperation = Number.POSITIVE_INFINITY
    if (this.fault === Fault.Crash) {
      partially?.()
      this.hasCrashed = true
    }
    throw new Error(this.fault === Fault.Crash ? 'crashed' : 'ENOSPC: no space left on device')
  }

  #refuseCrashed (): void {
    if (this.hasCrashed) throw new Error('crashed')
  }
}
