import { request } from 'node:http'

/** A guest's answer. */
export interface GuestAnswer {
  status: number
  text: string
  retryAfter: string | undefined
}

/** Repeats a check until it passes; throws when its time is over. */
export async function waitUntil (check: () => Promise<boolean>, milliseconds = 20_000): Promise<void> {
  const deadline = performance.now() + milliseconds
  // A host that has just started refuses connections; that counts as not yet.
  while (!await check().catch(() => false)) {
    if (performance.now() > deadline) throw new Error(`not in time: ${check.toString()}`)
    await new Promise((resolve) => { setTimeout(resolve, 100) })
  }
}

/** @returns the status of an operator's or upstream's call */
export async function sendPost (address: string, path: string, body?: string): Promise<number> {
  const response = await fetch(`http://${address}${path}`, { method: 'POST', body })
  return response.status
}

/** Sends a guest's request to an entry host. */
export function sendGuestRequest (address: string, path: string, attemptIdentifier: string): Promise<GuestAnswer> {
  const [host, port] = address.split(':')
  return new Promise((resolve, reject) => {
    const outgoing = request({ host, port, path, headers: { Host: 'stock.example', 'Attempt-Id': attemptIdentifier, 'Deadline-Ms': '3000' } }, (answer) => {
      let text = ''
      answer.on('data', (chunk: Buffer) => { text += chunk.toString() })
      answer.on('end', () => { resolve({ status: answer.statusCode ?? 0, text, retryAfter: answer.headers['retry-after'] }) })
    })
    outgoing.on('error', reject)
    outgoing.end()
  })
}
