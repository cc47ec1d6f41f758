/** Passes connections on from one address to another. Arguments: both as `ip:port`. */
import { connect, createServer } from 'node:net'

/** Connections that may wait for this process, more than come at once; the kernel leaves further ones unanswered while it is stopped. */
const WAITING_CONNECTIONS = 32
const [from, to] = process.argv.slice(2).map((address) => {
  const [host, port] = address.split(':')
  return { host, port: Number(port) }
})

function forward (source, target) {
  source.on('data', (bytes) => { if (target.writable) target.write(bytes) })
  source.on('end', () => { target.end() })
  source.on('error', () => { target.resetAndDestroy() })
}

createServer({ allowHalfOpen: true }, (near) => {
  const far = connect({ ...to, allowHalfOpen: true })
  forward(near, far)
  forward(far, near)
}).listen({ ...from, backlog: WAITING_CONNECTIONS }, () => { process.stdout.write('listening\n') })
