import { closeSync, openSync, writeSync } from 'node:fs'

/** The record of a case: one line for each thing that was sent, answered, run or done. */
export class CaseRecord {
  #file
  #startedAt = performance.now()

  /** @param path - path of `record.txt` */
  constructor (path) {
    this.#file = openSync(path, 'w')
  }

  write (event, details = {}) {
    const seconds = ((performance.now() - this.#startedAt) / 1000).toFixed(3)
    writeSync(this.#file, `${seconds.padStart(8)} ${event} ${JSON.stringify(details)}\n`)
  }

  close () {
    closeSync(this.#file)
  }
}
