import { createHash } from 'node:crypto'

/**
 * @param content - content of a sheet
 * @returns SHA-256 of its UTF-8 bytes, in hexadecimal
 */
export function digestOf (content: string): string {
  return createHash('sha256').update(content).digest('hex')
}
