import { createHash } from 'node:crypto'

/** The parts of a request that determine what it does. */
export interface FingerprintParts {
  /** What the path belongs to: a service, or the name of a virtual host. */
  scope: string
  method: string
  path: string
  body: Buffer
}

/**
 * @param parts - scope, method, path and body of a request
 * @returns SHA-256 over them, hexadecimal
 */
export function fingerprintRequest (parts: FingerprintParts): string {
  return createHash('sha256')
    .update(JSON.stringify([parts.scope, parts.method, parts.path]))
    .update(parts.body)
    .digest('hex')
}
