import { readFileSync } from 'node:fs'
import { request } from 'undici'
import { exitWithError } from './exitWithError.js'
import type { OperatorArgumentValues } from './operatorArguments.js'

const TIMEOUT_MILLISECONDS = 30_000

/** A host's answer to an operator. */
export interface OperatorReply<Body> {
  status: number
  body: Body
}

/** Asks the operator interface of one host. */
export class OperatorClient {
  readonly address: string
  readonly #token: string

  /**
   * @param address - operator address, `ip:port`
   * @param token - operator token
   */
  constructor (address: string, token: string) {
    this.address = address
    this.#token = token
  }

  /** Sends a GET request. */
  async get<Body> (path: string): Promise<OperatorReply<Body>> {
    return await this.#send('GET', path, undefined)
  }

  /** Sends a POST request. */
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
 * Makes a client from the command line or the environment.
 *
 * @param values - arguments of the command
 */
export function createOperatorClient (values: OperatorArgumentValues): OperatorClient {
  const address = values.operator ?? process.env['HIBISCUSRELAY_OPERATOR']
  const tokenFile = values['token-file'] ?? process.env['HIBISCUSRELAY_TOKEN_FILE']
  if (address === undefined) return exitWithError('give --operator ip:port')
  if (tokenFile === undefined) return exitWithError('give --token-file FILE')
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
