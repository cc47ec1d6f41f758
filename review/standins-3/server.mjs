// One server process. Arguments: address, id, time of a run in milliseconds, and 'length' or 'unframed'.
// An answer that is 'unframed' has no length and ends with its connection; its first half is written at once, the second after the run.
import net from 'node:net'

const [address, id, workText, framing] = process.argv.slice(2)
const [host, port] = address.split(':')
const firstHalf = `first half of the answer of ${id}\n`
const secondHalf = `second half of the answer of ${id}\n`

function findHeader (head, name) {
  return new RegExp(`^${name}: (.*)$`, 'mi').exec(head)?.[1].trim()
}

function answerRefusal (socket, status, fields) {
  socket.write(`HTTP/1.1 ${status}\r\n${fields}Content-Length: 0\r\n\r\n`)
}

function run (socket, attempt) {
  process.send({ event: 'run', attempt, id })
  const head = `HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nResponse-Signature: ${id}.${attempt}\r\n`
  let isCutOff = false
  socket.once('close', () => { isCutOff = true })
  if (framing === 'unframed') socket.write(`${head}Connection: close\r\n\r\n${firstHalf}`)
  setTimeout(() => {
    if (isCutOff) return
    if (framing === 'unframed') socket.end(secondHalf)
    else socket.write(`${head}Content-Length: ${firstHalf.length + secondHalf.length}\r\n\r\n${firstHalf}${secondHalf}`)
    process.send({ event: 'answered', attempt, id, body: firstHalf + secondHalf })
  }, Number(workText))
}

function handle (socket, head) {
  const attempt = findHeader(head, 'attempt-id')
  if (head.startsWith('GET /health ')) return answerRefusal(socket, '200 OK', `Instance-Id: ${id}\r\n`)
  const expected = findHeader(head, 'expected-instance')
  if (expected !== undefined && expected !== id) return answerRefusal(socket, '421 Misdirected Request', `Attempt-Id: ${attempt}\r\nNot-Executed: 1\r\n`)
  run(socket, attempt)
}

net.createServer((socket) => {
  let text = ''
  socket.setMaxListeners(0)
  socket.on('error', () => {}).on('data', (data) => {
    text += data.toString('latin1')
    for (let end = text.indexOf('\r\n\r\n'); end >= 0; end = text.indexOf('\r\n\r\n')) {
      const head = text.slice(0, end)
      const length = Number(findHeader(head, 'content-length') ?? 0)
      if (text.length < end + 4 + length) return
      text = text.slice(end + 4 + length)
      handle(socket, head)
    }
  })
}).listen(Number(port), host, () => { process.send({ event: 'listening', id }) })
process.on('disconnect', () => { process.exit() })
