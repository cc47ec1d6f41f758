import { readFileSync } from 'node:fs'
import { request } from 'undici'
import { exitWithError } from './exitWithError.js'
import type { OperatorArgumentValues } from './operatorArguments.js'

const TIMEOUT_MILLISECONDS = 30_000

/** Response of a host's operator interface. */
export interface OperatorReply<Body> {
  /** HTTP status. */
  status: number
  body: Body
}

/** HTTP client of the operator interface of one host. */
export class OperatorClient {
  readonly address: string
  readonly #token: string

  /**
   * @param address - operator address of the host, `ip:port`
   * @param token - sent as bearer token with each request
   */
  constructor (address: string, token: string) {
    this.address = address
    this.#token = token
  }

  /**
   * Sends a GET request and parses the JSON body of the response.
   *
   * @param path - path and query
   * @throws Error when the host cannot be reached, or does not respond within 30 s
   */
  async get<Body> (path: string): Promise<OperatorReply<Body>> {
    return await this.#send('GET', path, undefined)
  }

  /**
   * Sends a POST request and parses the JSON body of the response.
   *
   * @param path - path and query
   * @param body - content to send; empty by default
   * @throws Error when the host cannot be reached, or does not respond within 30 s
   */
  async post<Body> (path: string, body: Buffer | string = ''): Promise<OperatorReply<Body>> {
    return await this.#send('POST', path, body)
  }

  async #send<Body> (method: 'GET' | 'POST', path: string, body: Buffer | string | undefined): Promise<OperatorReply<Body>> {
    const response = await request(`http://${this.address}${path}`, {
      method,
      headers: { authorization: `Bearer ${this.#token}` },
      body: body ?? null,
      signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS)
    })
    return { status: response.statusCode, body: await response.body.json() as Body }
  }
}

/**
 * Creates a client from the command line, or from the environment where an argument is missing. Exits with a message when neither
 * gives an address and a token file, or the file cannot be read.
 *
 * @param values - arguments as given on the command line
 */
export function createOperatorClient (values: OperatorArgumentValues): OperatorClient {
  const address = values.operator ?? process.env['HIBISCUSRELAY_OPERATOR']
  const tokenFile = values['token-file'] ?? process.env['HIBISCUSRELAY_TOKEN_FILE']
  if (address === undefined) return exitWithError('the operator address is missing: give --operator ip:port or set HIBISCUSRELAY_OPERATOR')
  if (tokenFile === undefined) return exitWithError('the operator token is missing: give --token-file FILE or set HIBISCUSRELAY_TOKEN_FILE')
  return new OperatorClient(address, readToken(tokenFile))
}

function readToken (file: string): string {
  try {
    const line = readFileSync(file, 'utf8').split('\n').find((candidate) => candidate.trim() !== '' && !candidate.startsWith('#')) ?? ''
    return line.slice(line.indexOf(':') + 1).trim()
  } catch (error) {
    return exitWithError(`cannot read ${file}: ${(error as NodeJS.ErrnoException).code}`)
  }
}
