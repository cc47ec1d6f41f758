import type { ServerResponse } from 'node:http'
import { InjectedFault } from './InjectedFault.js'

/**
 * Writes an answer, either complete or with an injected fault.
 *
 * @param response - response to write to
 * @param body - complete body
 * @param fault - fault to inject
 * @param requestIdentifier - identifier of the request to repeat in the answer, if any
 */
export function writeAnswer (response: ServerResponse, body: string, fault: InjectedFault, requestIdentifier: string | undefined): void {
  const write = FAULTY_WRITERS.get(fault) ?? writeComplete
  write(response, body, requestIdentifier === undefined ? '' : `Hibiscusrelay-Request: ${requestIdentifier}\r\n`)
}

type AnswerWriter = (response: ServerResponse, body: string, echoHeader: string) => void

const FAULTY_WRITERS = new Map<InjectedFault, AnswerWriter>([
  [InjectedFault.Truncated, writeTruncated],
  [InjectedFault.UnterminatedChunks, writeUnterminatedChunks],
  [InjectedFault.ExcessBytes, writeExcessBytes],
  [InjectedFault.Duplicated, writeDuplicated],
  [InjectedFault.AnswerLost, (response) => { response.destroy() }]
])

function writeComplete (response: ServerResponse, body: string, echoHeader: string): void {
  const requestIdentifier = /: (.*)\r\n$/.exec(echoHeader)?.[1]
  response.writeHead(200, {
    'Content-Type': 'application/json',
    'Hibiscusrelay-Outcome': 'ran',
    'Content-Length': Buffer.byteLength(body),
    ...requestIdentifier === undefined ? {} : { 'Hibiscusrelay-Request': requestIdentifier }
  })
  response.end(body)
}

function composeRawAnswer (body: string, contentLength: number, echoHeader: string): string {
  return `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n${echoHeader}Content-Length: ${contentLength}\r\n\r\n${body}`
}

function writeTruncated (response: ServerResponse, body: string, echoHeader: string): void {
  const half = body.slice(0, Math.floor(body.length / 2))
  response.socket?.end(composeRawAnswer(half, Buffer.byteLength(body), echoHeader))
}

function writeUnterminatedChunks (response: ServerResponse, body: string, echoHeader: string): void {
  const head = `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n${echoHeader}Transfer-Encoding: chunked\r\n\r\n`
  response.socket?.end(`${head}${Buffer.byteLength(body).toString(16)}\r\n${body}\r\n`)
}

function writeExcessBytes (response: ServerResponse, body: string, echoHeader: string): void {
  response.socket?.write(composeRawAnswer(`${body}more than announced`, Buffer.byteLength(body), echoHeader))
}

function writeDuplicated (response: ServerResponse, body: string, echoHeader: string): void {
  const answer = composeRawAnswer(body, Buffer.byteLength(body), echoHeader)
  response.socket?.write(answer + answer)
}
