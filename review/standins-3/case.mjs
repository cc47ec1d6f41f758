// Plays one case: writes record.txt beside the case, ends all processes and sets the exit code (0 held, 1 broken, 2 could not run).
import { fork } from 'node:child_process'
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Link } from './Link.mjs'
import { CannotRun, System } from './system.mjs'

const MAXIMUM_MILLISECONDS = 110_000

export class Case {
  #lines = []
  #startedAt = performance.now()
  #children = []
  hasTrouble = process.env.TROUBLE !== '0'

  constructor (folder, options) {
    this.folder = folder
    this.system = new System(options)
  }

  note (text) {
    const line = `${((performance.now() - this.#startedAt) / 1000).toFixed(3).padStart(8)} s  ${text}`
    this.#lines.push(line)
    console.log(line)
  }

  /** Starts a server process; `onEvent` gets what it tells. */
  startServer ({ address, id, work, framing = 'length' }, onEvent = () => {}) {
    const child = fork(fileURLToPath(new URL('server.mjs', import.meta.url)), [address, id, String(work), framing], { stdio: ['ignore', 'inherit', 'inherit', 'ipc'] })
    this.#children.push(child)
    return new Promise((resolve, reject) => {
      child.once('exit', () => { reject(new CannotRun(`server ${id} ended`)) })
      child.on('message', (message) => {
        if (message.event === 'listening') resolve(child)
        onEvent(message)
      })
    })
  }

  /** Opens a link in front of an address. */
  async openLink (from, to) {
    const link = new Link(from, to)
    await link.open()
    this.#children.push(link.child)
    return link
  }

  async play (action) {
    const timer = setTimeout(() => { this.#finish(2, 'the case took too long') }, MAXIMUM_MILLISECONDS)
    try {
      const broken = await action()
      await this.#finish(broken === undefined ? 0 : 1, broken ?? 'the rule held')
    } catch (error) {
      await this.#finish(2, `could not run: ${error instanceof CannotRun ? error.message : error.stack}`)
    } finally {
      clearTimeout(timer)
    }
  }

  async #finish (code, result) {
    this.note(`RESULT ${code}: ${result}`)
    writeFileSync(join(this.folder, 'record.txt'), this.#lines.join('\n') + '\n')
    for (const child of this.#children) if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL')
    await this.system.stop()
    process.exit(code)
  }
}
