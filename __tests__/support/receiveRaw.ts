import { connect } from 'node:net'

/** What a guest received until the end of its connection. */
export interface RawAnswer {
  text: string
  /** Whether the connection ended in order, and not by a reset. */
  hasEndedInOrder: boolean
}

/** Settings of a raw guest. */
export interface RawGuest {
  address: string
  request: string
  /** Pause between two reads, for a guest that reads slowly. */
  readPauseMilliseconds?: number
  /** Called with the number of bytes received so far. */
  onBytes?: (bytes: number) => void
}

/** Sends a request and reads every byte until the connection ends; the request must ask to close it. */
export async function receiveRaw ({ address, request, readPauseMilliseconds = 0, onBytes = () => {} }: RawGuest): Promise<RawAnswer> {
  const [host, port] = address.split(':')
  const socket = connect({ host, port: Number(port) })
  const chunks: Buffer[] = []
  let bytes = 0
  let hasEndedInOrder = false
  socket.on('error', () => {})
  socket.on('end', () => { hasEndedInOrder = true })
  socket.on('data', (chunk) => {
    chunks.push(chunk)
    bytes += chunk.length
    onBytes(bytes)
    if (readPauseMilliseconds === 0) return
    socket.pause()
    setTimeout(() => { socket.resume() }, readPauseMilliseconds)
  })
  socket.write(request)
  await new Promise<void>((resolve) => { socket.once('close', () => { resolve() }) })
  return { text: Buffer.concat(chunks).toString('latin1'), hasEndedInOrder }
}

/** @returns the body of an answer that looks whole to a guest that knows RFC 9112; undefined when it is visibly incomplete or has another status than 200 */
export function readWholeBody ({ text, hasEndedInOrder }: RawAnswer): string | undefined {
  const end = text.indexOf('\r\n\r\n')
  if (!text.startsWith('HTTP/1.1 200 ') || end < 0) return undefined
  const head = text.slice(0, end + 2).toLowerCase()
  const body = text.slice(end + 4)
  if (head.includes('\r\ntransfer-encoding: chunked\r\n')) return readChunks(body)
  const length = /\r\ncontent-length: (\d+)\r\n/.exec(head)?.[1]
  if (length === undefined) return hasEndedInOrder ? body : undefined
  return body.length >= Number(length) ? body.slice(0, Number(length)) : undefined
}

function readChunks (text: string): string | undefined {
  let body = ''
  let position = 0
  for (;;) {
    const lineEnd = text.indexOf('\r\n', position)
    if (lineEnd < 0) return undefined
    const length = Number.parseInt(text.slice(position, lineEnd), 16)
    if (length === 0) return text.startsWith('\r\n', lineEnd + 2) ? body : undefined
    if (text.length < lineEnd + 2 + length) return undefined
    body += text.slice(lineEnd + 2, lineEnd + 2 + length)
    position = lineEnd + 2 + length + 2
  }
}
