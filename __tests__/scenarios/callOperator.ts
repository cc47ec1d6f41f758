import { request } from 'undici'

const TIMEOUT_MILLISECONDS = 30_000

/** Answer of a host's operator interface. */
export interface OperatorReply {
  /** HTTP status, 0 when there was no answer. */
  status: number
  body: unknown
}

/**
 * Asks the operator interface of a host; a failure is an answer with status 0.
 *
 * @param address - operator address of the host
 * @param token - operator token
 * @param method - HTTP method
 * @param path - path and query
 * @param body - what to send
 */
export async function callOperator (address: string, token: string, method: 'GET' | 'POST', path: string, body: string = ''): Promise<OperatorReply> {
  try {
    const response = await request(`http://${address}${path}`, {
      method,
      headers: { authorization: `Bearer ${token}` },
      body: method === 'POST' ? body : null,
      signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS)
    })
    const text = await response.body.text()
    return { status: response.statusCode, body: text === '' ? {} : JSON.parse(text) as unknown }
  } catch (error) {
    return { status: 0, body: { cause: String(error) } }
  }
}
