import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { connect } from 'node:net'
import { fileURLToPath } from 'node:url'

/** More than the kernel keeps waiting for the link's process. */
const FILLING_CONNECTIONS = 40
const CHECK_MILLISECONDS = 200

/**
 * A link that can be cut in silence, also for new connections: its process is stopped. What is sent on open connections is kept by the
 * kernel until the process goes on; the places for connections that wait for it are filled, so that the kernel answers no further one.
 */
export class SilentLink {
  #process
  #fillers = []
  #host
  #port

  /**
   * @param from - `ip:port` at which the link listens
   * @param to - `ip:port` to which it passes connections on
   */
  async open (from, to) {
    const [host, port] = from.split(':')
    this.#host = host
    this.#port = Number(port)
    this.#process = spawn(process.execPath, [fileURLToPath(new URL('linkProcess.mjs', import.meta.url)), from, to], { stdio: ['ignore', 'pipe', 'inherit'] })
    await once(this.#process.stdout, 'data')
  }

  /** @throws when a new connection is still answered: the cut would not be silent */
  async cut () {
    this.#process.kill('SIGSTOP')
    this.#fillers = Array.from({ length: FILLING_CONNECTIONS }, () => this.#connect())
    if (await this.#isAnswered()) throw new Error(`a new connection to ${this.#host}:${this.#port} was answered during the cut`)
  }

  join () {
    for (const filler of this.#fillers.splice(0)) filler.destroy()
    this.#process.kill('SIGCONT')
  }

  async close () {
    for (const filler of this.#fillers) filler.destroy()
    if (this.#process === undefined || this.#process.exitCode !== null || this.#process.signalCode !== null) return
    this.#process.kill('SIGKILL')
    await once(this.#process, 'exit')
  }

  #connect () {
    return connect({ host: this.#host, port: this.#port }).on('error', () => {})
  }

  /** The kernel answers the connections that fill its queue first, so the one that counts comes behind them. */
  async #isAnswered () {
    await new Promise((resolve) => { setTimeout(resolve, CHECK_MILLISECONDS) })
    const socket = this.#connect()
    const isAnswered = await new Promise((resolve) => {
      for (const event of ['connect', 'error']) socket.once(event, () => { resolve(true) })
      setTimeout(() => { resolve(false) }, CHECK_MILLISECONDS)
    })
    socket.destroy()
    return isAnswered
  }
}
