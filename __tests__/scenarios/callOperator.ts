import { request } from 'undici'

const TIMEOUT_MILLISECONDS = 30_000

/** Reply of a host's operator interface. */
export interface OperatorReply {
  /** HTTP status, 0 if the call failed. */
  status: number
  /** Parsed JSON; the cause of the failure if the call failed. */
  body: unknown
}

/**
 * Calls the operator interface of a host. A failed call yields a reply with status 0.
 *
 * @param address - operator address of the host
 * @param token - operator token
 * @param method - HTTP method
 * @param path - path and query
 * @param body - request body, sent with POST only
 * @returns the status and the parsed body of the reply
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
