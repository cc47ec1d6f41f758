import type { IncomingMessage } from 'node:http'

/**
 * Reads the complete body of a message. It uses the message's events, because its async iterator costs more than
 * reading a small body.
 *
 * @param message - message whose body has not been read
 * @param maximumBytes - maximum size of the body
 * @returns the body, undefined when it exceeds the maximum; the rest of it is then discarded
 * @throws when the connection breaks before the end of the body
 */
export async function readBody (message: IncomingMessage, maximumBytes: number): Promise<Buffer | undefined> {
  if (Number(message.headers['content-length'] ?? 0) > maximumBytes) return undefined
  if (message.destroyed) throw new Error('connection closed before the body was read')
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
    message.once('close', () => { reject(new Error('connection closed before the end of the body')) })
    const resolveTooLarge = (): void => {
      chunks.length = 0
      resolve(undefined)
    }
  })
}
