import { appendFileSync } from 'node:fs'
import type { RunLine } from './RunLine.js'

/** Appends run lines to a file. Writing is synchronous, so that a line is not lost if the process dies after it. */
export class RunLog {
  readonly #file: string

  /** @param file - path of the log file */
  constructor (file: string) {
    this.#file = file
  }

  /** @param line - line to append; the current time is added to it */
  write (line: Omit<RunLine, 'time'>): void {
    const time = performance.timeOrigin + performance.now()
    appendFileSync(this.#file, `${JSON.stringify({ ...line, time })}\n`)
  }
}
