import { createServer } from 'node:http'
import { post } from './httpCall.mjs'

const HEARTBEAT_MILLISECONDS = 1_500

/** A server within the process of the case, which answers each request at once. */
export class PlainServer {
  #server
  #heartbeats

  /**
   * @param record - the record of the case
   * @param listControlAddresses - returns the nodes to which the heartbeats go in turn
   */
  constructor (record, { address, service, zone, listControlAddresses }) {
    const [host, port] = address.split(':')
    this.#server = createServer((request, response) => {
      const attempt = request.headers['attempt-id']
      record.write('run', { attempt })
      request.resume().once('end', () => {
        response.writeHead(200, { 'attempt-id': attempt, 'response-signature': `3e1b.07.5a2.2.0.${attempt}`, 'server-load': '1,0,9', 'content-length': 2 }).end('ok')
      })
    })
    this.#server.listen(Number(port), host)
    const born = Date.now()
    let sequence = 0
    this.#heartbeats = setInterval(() => {
      const addresses = listControlAddresses()
      const document = { service, address, zone, version: 'v1', slots: 9, state: 'ready', cold_remaining_s: 0, sequence: ++sequence, born }
      post(addresses[sequence % addresses.length], '/instances/i-1/heartbeat', document)
    }, HEARTBEAT_MILLISECONDS)
  }

  close () {
    clearInterval(this.#heartbeats)
    this.#server.close()
    this.#server.closeAllConnections()
  }
}
