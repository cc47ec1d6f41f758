import { createServer, type AddressInfo, type Socket } from 'node:net'

// Upstream process whose answers only the end of their connection delimits. It prints its address, and then the path of each request.
// Health requests are answered with its identifier, i-1, and not printed.
// The path /lookups/whole/N is answered with N bytes; the answer to /lookups/part/N goes on after N bytes and never ends.
const TRICKLE_MILLISECONDS = 20

const server = createServer((socket) => {
  let text = ''
  socket.on('error', () => {})
  socket.on('data', (chunk) => {
    text += chunk.toString()
    if (text.includes('\r\n\r\n')) answer(socket, text)
  })
})
server.listen(0, '127.0.0.1', () => { console.log(`127.0.0.1:${(server.address() as AddressInfo).port}`) })

function answer (socket: Socket, head: string): void {
  const path = head.split(' ')[1]!
  if (path === '/health') {
    socket.end('HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\ncontent-length: 0\r\n\r\n')
    return
  }
  const [, kind, bytes] = /\/(whole|part)\/(\d+)/.exec(path) ?? []
  console.log(path)
  socket.write(`HTTP/1.1 200 OK\r\nconnection: close\r\nattempt-id: ${findField(head, 'attempt-id')}\r\nhibiscusrelay-request: ${findField(head, 'hibiscusrelay-request')}\r\nresponse-signature: s\r\n\r\n`)
  socket.write('p'.repeat(Number(bytes)))
  if (kind === 'whole') {
    socket.end()
    return
  }
  const timer = setInterval(() => { socket.write('p') }, TRICKLE_MILLISECONDS)
  socket.once('close', () => { clearInterval(timer) })
}

function findField (head: string, name: string): string {
  return new RegExp(`${name}: (\\S+)`, 'i').exec(head)?.[1] ?? ''
}
