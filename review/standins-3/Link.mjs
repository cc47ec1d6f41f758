// A link to one address, in a process of its own, that can be cut and joined.
import { fork } from 'node:child_process'
import net from 'node:net'
import { fileURLToPath } from 'node:url'
import { CannotRun, sleep } from './system.mjs'

const FILLING_CONNECTIONS = 4

export class Link {
  #fillers = []
  isCut = false

  constructor (from, to) { Object.assign(this, { from, to }) }

  async open () {
    this.child = fork(fileURLToPath(new URL('link.mjs', import.meta.url)), [this.from, this.to], { stdio: ['ignore', 'inherit', 'inherit', 'ipc'] })
    await new Promise((resolve) => { this.child.once('message', resolve) })
  }

  /** From now on nothing passes, and new connections get no answer: all places for those that wait are taken. */
  async cut () {
    this.isCut = true
    this.child.kill('SIGSTOP')
    const [host, port] = this.from.split(':')
    this.#fillers = Array.from({ length: FILLING_CONNECTIONS }, () => net.connect({ host, port: Number(port) }).on('error', () => {}))
    await sleep(100)
    if (await this.#isAnswered(host, port)) throw new CannotRun('a new connection was answered during the cut')
  }

  join () {
    for (const filler of this.#fillers) filler.destroy()
    this.child.kill('SIGCONT')
    this.isCut = false
  }

  #isAnswered (host, port) {
    return new Promise((resolve) => {
      const socket = net.connect({ host, port: Number(port) }, () => { resolve(true); socket.destroy() })
      socket.on('error', () => { resolve(true) })
      setTimeout(() => { resolve(false); socket.destroy() }, 200)
    })
  }
}
