import { connect, createServer } from 'node:net'

/**
 * A link that can be cut in silence: while it is, nothing passes on its connections in either direction, neither bytes nor ends, and what
 * was sent is delivered when it is joined again. A connection that is opened meanwhile leads nowhere: it is refused, or gets no answer.
 */
export class Link {
  #target
  #refuses
  #endDelay
  #host
  #port
  #server
  #isCut = false
  #isHolding = false
  #held = []
  #sockets = new Set()

  /**
   * @param target - `ip:port` to which connections are passed on
   * @param refuses - whether connections that are opened while the link is cut are refused; otherwise they hang
   * @param endDelayMilliseconds - time by which the end of a connection comes behind its last bytes: a sender that was cut off sends the
   *   next segment when the first one is confirmed, one round trip later
   */
  constructor (target, { refuses = true, endDelayMilliseconds = 0 } = {}) {
    this.#target = target
    this.#refuses = refuses
    this.#endDelay = endDelayMilliseconds
  }

  /**
   * @param host - address to listen on
   * @param port - 0 takes a free one
   * @returns the `ip:port` of this end
   */
  async open (host, port = 0) {
    this.#host = host
    this.#port = port
    await this.#listen()
    return `${host}:${this.#port}`
  }

  cut () {
    this.#isCut = true
    if (this.#refuses) this.#server.close()
  }

  /** Like {@link Link.cut}, but connections can still be opened: only what is sent on them is held. */
  hold () {
    this.#isCut = true
    this.#isHolding = true
  }

  async join () {
    this.#isHolding = false
    this.#isCut = false
    if (this.#refuses) await this.#listen()
    for (const deliver of this.#held.splice(0)) deliver()
  }

  close () {
    this.#server?.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  async #listen () {
    this.#server = createServer({ allowHalfOpen: true }, (near) => { this.#pass(near) })
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.#port, this.#host, resolve)
    })
    this.#port = this.#server.address().port
  }

  #pass (near) {
    if (this.#isCut && !this.#isHolding) {
      this.#sockets.add(near)
      near.on('error', () => {}).resume()
      return
    }
    const [host, port] = this.#target.split(':')
    const far = connect({ host, port: Number(port), allowHalfOpen: true })
    this.#forward(near, far)
    this.#forward(far, near)
  }

  #forward (from, to) {
    this.#sockets.add(from)
    const deliver = (action) => {
      if (this.#isCut) this.#held.push(action)
      else action()
    }
    from.on('data', (bytes) => { deliver(() => { if (to.writable) to.write(bytes) }) })
    from.on('end', () => { deliver(() => { setTimeout(() => { to.end() }, this.#endDelay) }) })
    from.on('error', () => { deliver(() => { to.resetAndDestroy() }) })
    from.on('close', () => { this.#sockets.delete(from) })
  }
}
