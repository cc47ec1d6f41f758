import type { Socket } from 'node:net'
import type { Readable } from 'node:stream'

/** Bytes that a faulty upstream writes behind an answer that ends with the connection. */
export interface FurtherAnswer {
  name: string
  compose: (answer: string, body: string) => string
  /** Whether the first answer can be told from what follows it when all of it is read at once. */
  isSeparable: boolean
  /** Whether it cannot be told when the answer is empty, though it can be otherwise. */
  isAmbiguousWhenEmpty?: boolean
}

/** What may follow an answer without a length. The answer's head has status 200 and names its request. */
export const FURTHER_ANSWERS: FurtherAnswer[] = [
  { name: 'the same answer', compose: (answer) => answer, isSeparable: true },
  { name: 'the same answer twice', compose: (answer) => answer + answer, isSeparable: true },
  { name: 'the same answer with a length', compose: (answer, body) => answer.replace('\r\n\r\n', `\r\nContent-Length: ${body.length}\r\n\r\n`), isSeparable: true },
  { name: 'the same answer without its identifier and signature', compose: (answer) => answer.replace(/\r\n(Attempt-Id|Response-Signature|Hibiscusrelay-Request).*/g, ''), isSeparable: true, isAmbiguousWhenEmpty: true },
  { name: 'the same answer in chunks', compose: (answer, body) => answer.replace(`\r\n\r\n${body}`, `\r\nTransfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`), isSeparable: false },
  { name: 'an answer of status 500', compose: (answer) => answer.replace('200 OK', '500 Failed'), isSeparable: false },
  { name: 'an answer of status 503', compose: (answer) => answer.replace('200 OK', '503 Full'), isSeparable: false },
  { name: 'the answer cut in its body', compose: (answer) => answer.slice(0, -1), isSeparable: false },
  { name: 'the answer cut in its head', compose: (answer) => answer.slice(0, answer.indexOf('\r\n') + 8), isSeparable: false },
  { name: 'the answer cut in its status line', compose: (answer) => answer.slice(0, 10), isSeparable: false },
  { name: 'the answer twice, the second one cut', compose: (answer) => answer + answer.slice(0, 30), isSeparable: false }
]

/** Time after the first answer at which the further one is written; the connection ends at once after it. */
export const LATE_MILLISECONDS = [0, 20, 100]

/** Writes an answer, and later the bytes behind it in two segments with the end of the connection. */
export function writeLate (socket: Socket, answer: string, further: string, milliseconds: number): void {
  socket.write(answer)
  setTimeout(() => {
    socket.write(further.slice(0, 5))
    setImmediate(() => { socket.end(further.slice(5)) })
  }, milliseconds)
}

/** @returns the text of a body, undefined when its stream failed */
export async function readText (body: Buffer | Readable): Promise<string | undefined> {
  if (Buffer.isBuffer(body)) return String(body)
  return await body.toArray().then((chunks) => Buffer.concat(chunks).toString(), () => undefined)
}
