import { Agent, request } from 'node:http'
import { HOST } from './composeConfig.mjs'

const DEADLINE_MILLISECONDS = 4_000

/** Clients that send requests at a steady rate over kept connections to the entry addresses. */
export class Clients {
  /** Status of each attempt, undefined without a whole answer. */
  answers = []
  #addresses
  #record
  #method
  #path
  #timer
  #agent = new Agent({ keepAlive: true, maxSockets: 64 })
  #count = 0

  constructor (addresses, record, { method = 'GET', path = '/look/' } = {}) {
    this.#addresses = addresses
    this.#record = record
    this.#method = method
    this.#path = path
  }

  start (perSecond) {
    this.#timer = setInterval(() => { this.#send() }, 1000 / perSecond)
  }

  /** Sends no more; requests on the way may still be answered. */
  stop () {
    clearInterval(this.#timer)
  }

  #send () {
    const number = this.#count++
    const edge = this.#addresses[number % this.#addresses.length]
    const [host, port] = edge.split(':')
    const attempt = `a${number.toString(16).padStart(8, '0')}`
    const headers = { host: HOST, 'attempt-id': attempt, 'affinity-key': String(number % 40), 'deadline-ms': String(DEADLINE_MILLISECONDS) }
    const sentAt = performance.now()
    let isSettled = false
    const settle = (fields) => {
      if (isSettled) return
      isSettled = true
      clearTimeout(timer)
      this.answers.push({ attempt, sentAt, edge, isKeptConnection: outgoing.reusedSocket, ...fields })
      this.#record('answer', { attempt, edge, status: fields.status ?? 'none', cause: fields.cause })
    }
    const outgoing = request({ host, port, agent: this.#agent, method: this.#method, path: `${this.#path}${number}`, headers }, (answer) => {
      answer.resume()
      answer.on('end', () => { settle({ status: answer.statusCode }) })
      answer.on('error', ({ code }) => { settle({ cause: code, isClosed: true }) })
    })
    const timer = setTimeout(() => {
      settle({ cause: 'deadline', isClosed: false })
      outgoing.destroy()
    }, DEADLINE_MILLISECONDS)
    outgoing.on('error', ({ code }) => { settle({ cause: code, isClosed: true }) })
    outgoing.end()
  }
}
