import type { IncomingMessage } from 'node:http'

/**
 * Reads the whole body of a message. It listens to the message's events: its async iterator costs more than the
 * reading of a small body.
 *
 * @param message - the message
 * @param maximumBytes - most bytes to take
 * @returns the body, undefined when it is larger than the limit; the rest of it is then passed over
 * @throws when the connection breaks before the end
 */
export async function readBody (message: IncomingMessage, maximumBytes: number): Promise<Buffer | undefined> {
  if (Number(message.headers['content-length'] ?? 0) > maximumBytes) return undefined
  if (message.destroyed) throw new Error('the connection broke before the body was read')
  return await new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let length = 0
    message.on('data', (chunk: Buffer) => {
      length += chunk.length
      if (length <= maximumBytes) chunks.push(chunk)
      else resolveTooLarge()
    })
    message.once('end', () => { resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)) })
    message.once('error', reject)
    message.once('close', () => { reject(new Error('the connection broke within the body')) })
    const resolveTooLarge = (): void => {
      chunks.length = 0
      resolve(undefined)
    }
  })
}
