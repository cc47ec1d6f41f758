import { request } from 'node:http'

/** Answer that a guest receives. */
export interface GuestAnswer {
  status: number
  text: string
  /** Value of the `Retry-After` header in seconds. */
  retryAfter: string | undefined
}

/**
 * Repeats a check every 100 ms until it passes.
 *
 * @param check - resolves with whether it passed; a rejection counts as not passed
 * @param milliseconds - time after which to fail
 * @throws Error when the check has not passed in time
 */
export async function waitUntil (check: () => Promise<boolean>, milliseconds = 20_000): Promise<void> {
  const deadline = performance.now() + milliseconds
  // A host that is starting refuses connections, which makes the check reject.
  while (!await check().catch(() => false)) {
    if (performance.now() > deadline) throw new Error(`check did not pass within ${milliseconds} ms: ${check.toString()}`)
    await new Promise((resolve) => { setTimeout(resolve, 100) })
  }
}

/**
 * Sends a POST request as an operator or an upstream does.
 *
 * @param address - address of the host, `ip:port`
 * @param path - path and query
 * @param body - content to send; none by default
 * @returns HTTP status of the response
 */
export async function sendPost (address: string, path: string, body?: string): Promise<number> {
  const response = await fetch(`http://${address}${path}`, { method: 'POST', body })
  return response.status
}

/**
 * Sends a request to an entry host as a guest does, with a deadline of 3 s.
 *
 * @param address - guest address of the entry host, `ip:port`
 * @param path - path and query
 * @param attemptIdentifier - identifier of this attempt, sent as `Attempt-Id`
 * @param headers - further headers of the request
 */
export function sendGuestRequest (address: string, path: string, attemptIdentifier: string, headers: Record<string, string> = {}): Promise<GuestAnswer> {
  const [host, port] = address.split(':')
  return new Promise((resolve, reject) => {
    const outgoing = request({ host, port, path, headers: { Host: 'stock.example', 'Attempt-Id': attemptIdentifier, 'Deadline-Ms': '3000', ...headers } }, (answer) => {
      let text = ''
      answer.on('data', (chunk: Buffer) => { text += chunk.toString() })
      answer.on('error', reject)
      answer.on('end', () => { resolve({ status: answer.statusCode ?? 0, text, retryAfter: answer.headers['retry-after'] }) })
    })
    outgoing.on('error', reject)
    outgoing.end()
  })
}
