// Process that forwards connections from one address to another. Stopping it cuts the link: what was sent stays in the kernel until it goes on.
import net from 'node:net'

/** With this few places for connections that wait, the kernel soon leaves new ones unanswered while the process is stopped. */
const WAITING_CONNECTIONS = 1
const [from, to] = process.argv.slice(2).map((address) => {
  const [host, port] = address.split(':')
  return { host, port: Number(port) }
})

function pass (source, target) {
  source.on('data', (data) => { target.write(data) })
  source.on('end', () => { target.end() })
  source.on('error', () => { target.resetAndDestroy() })
}

net.createServer({ allowHalfOpen: true }, (front) => {
  const back = net.connect({ ...to, allowHalfOpen: true })
  pass(front, back)
  pass(back, front)
}).listen({ ...from, backlog: WAITING_CONNECTIONS }, () => { process.send('listening') })
process.on('disconnect', () => { process.exit() })
