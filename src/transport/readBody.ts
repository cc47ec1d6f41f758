import type { IncomingMessage } from 'node:http'
import type { BodyMemory } from './BodyMemory.js'

/** Size up to which bodies take no shared memory: a large body must not keep small ones out. */
const SMALL_BODY_BYTES = 65_536

/**
 * Reads the complete body of a message. It uses the message's events, because its async iterator costs more than
 * reading a small body.
 *
 * @param message - message whose body has not been read
 * @param maximumBytes - maximum size of the body
 * @param memory - shared memory that a large body takes; unbounded by default
 * @returns the body, undefined when it exceeds the maximum or the memory; the rest of it is then discarded
 * @throws when the connection breaks before the end of the body
 */
export async function readBody (message: IncomingMessage, maximumBytes: number, memory?: BodyMemory): Promise<Buffer | undefined> {
  const statedBytes = Number(message.headers['content-length'] ?? 0)
  if (statedBytes > maximumBytes) return undefined
  if (message.destroyed) throw new Error('connection closed before the body was read')
  if (statedBytes > SMALL_BODY_BYTES) return memory?.tryTake(statedBytes) === false ? undefined : await readLargeBody(message, statedBytes)
  return await readChunks(message, maximumBytes, memory)
}

/** Reads a large body of known length into one buffer, as joining its chunks would take its size twice. */
async function readLargeBody (message: IncomingMessage, statedBytes: number): Promise<Buffer> {
  const body = Buffer.allocUnsafe(statedBytes)
  let length = 0
  message.on('data', (chunk: Buffer) => { length += chunk.copy(body, length) })
  await waitForEnd(message)
  return body
}

async function readChunks (message: IncomingMessage, maximumBytes: number, memory: BodyMemory | undefined): Promise<Buffer | undefined> {
  const chunks: Buffer[] = []
  let length = 0
  return await new Promise((resolve, reject) => {
    const refuse = (): void => {
      chunks.length = 0
      length = Number.POSITIVE_INFINITY
      resolve(undefined)
    }
    message.on('data', (chunk: Buffer) => {
      length += chunk.length
      // Each chunk counts twice, since joining them takes their size again.
      if (length > maximumBytes || (length > SMALL_BODY_BYTES && memory?.tryTake(2 * chunk.length) === false)) refuse()
      else chunks.push(chunk)
    })
    waitForEnd(message).then(() => { resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)) }, reject)
  })
}

async function waitForEnd (message: IncomingMessage): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    message.once('end', resolve)
    message.once('error', reject)
    message.once('close', () => { reject(new Error('connection closed before the end of the body')) })
  })
}
