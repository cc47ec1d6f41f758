import type { Socket } from 'node:net'

/** Composes the head of an upstream's answer without what delimits its body, with a status line of 200 by default. */
export type ComposeHead = (id: string, status?: string) => string

const PAUSE_MILLISECONDS = 15

/** How an answer is delimited whose length is known. Its body is the identifier of its request. */
export interface Framing {
  name: string
  method?: string
  compose: (composeHead: ComposeHead, id: string) => string
  hasBody?: boolean
}

export const FRAMINGS: Framing[] = [
  { name: 'with a length', compose: (composeHead, id) => `${composeHead(id)}Content-Length: ${id.length}\r\n\r\n${id}` },
  { name: 'in chunks', compose: (composeHead, id) => `${composeHead(id)}Transfer-Encoding: chunked\r\n\r\n${id.length}\r\n${id}\r\n0\r\n\r\n` },
  { name: 'to HEAD without a length', method: 'HEAD', compose: (composeHead, id) => `${composeHead(id)}\r\n`, hasBody: false },
  { name: 'to HEAD with a length', method: 'HEAD', compose: (composeHead, id) => `${composeHead(id)}Content-Length: 3\r\n\r\n`, hasBody: false },
  { name: 'of status 204', compose: (composeHead, id) => `${composeHead(id, '204 Empty')}\r\n`, hasBody: false },
  { name: 'of status 304', compose: (composeHead, id) => `${composeHead(id, '304 Same')}\r\n`, hasBody: false }
]

/** Bytes that a faulty upstream writes behind a complete answer. */
export const EXTRAS: Array<{ name: string, compose: (answer: string) => string }> = [
  { name: 'the same answer', compose: (answer) => answer },
  { name: 'the same answer twice', compose: (answer) => answer + answer },
  { name: 'an answer of status 503', compose: (answer) => answer.replace(/ \d{3} \w+/, ' 503 Full') },
  { name: 'an answer that ends with its connection', compose: (answer) => `${answer.slice(0, answer.indexOf('\r\n\r\n')).replace(/\r\n(Content-Length|Transfer-Encoding).*/, '')}\r\n\r\nmore` },
  { name: 'a part of the same answer', compose: (answer) => answer.slice(0, 20) },
  { name: 'bytes that are no answer', compose: () => 'garbage' },
  { name: 'empty lines', compose: () => '\r\n\r\n' }
]

/** How the extra bytes arrive: the answer and they, in segments with a pause between them. */
export const ARRIVALS: Array<{ name: string, split: (answer: string, extra: string) => string[] }> = [
  { name: 'with the end', split: (answer, extra) => [answer + extra] },
  { name: 'with the last byte', split: (answer, extra) => [answer.slice(0, -1), answer.slice(-1) + extra] },
  { name: 'after the end', split: (answer, extra) => [answer, extra] },
  { name: 'in two segments', split: (answer, extra) => [answer + extra.slice(0, 3), extra.slice(3)] },
  { name: 'byte by byte', split: (answer, extra) => [answer, ...extra.slice(0, 10), extra.slice(10)] }
]

/** Writes segments one after another, as long as the other side reads them. */
export function writeSegments (socket: Socket, segments: string[]): void {
  segments.forEach((segment, index) => { setTimeout(() => { if (socket.writable) socket.write(segment) }, index * PAUSE_MILLISECONDS) })
}

/** Interim responses that a client must accept before the answer. */
export const INTERIMS = ['HTTP/1.1 102 Processing\r\n\r\n', 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n']
