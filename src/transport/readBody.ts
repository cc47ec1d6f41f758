import type { IncomingMessage } from 'node:http'
import type { MessageMemory } from '../limits/MessageMemory.js'
import { PieceBuffer } from '../utils/PieceBuffer.js'
import { pauseFor } from './pauseFor.js'

/** Size from which a body of known length is read into one buffer: joining its pieces would take its size twice. */
const LARGE_BODY_BYTES = 65_536

/**
 * Reads the complete body of a message. It uses the message's events, because its async iterator costs more than
 * reading a small body.
 *
 * @param message - message whose body has not been read
 * @param maximumBytes - maximum size of the body
 * @param memory - memory of the message; unbounded by default
 * @returns the body, undefined when it exceeds the maximum or the memory; the rest of it is then left unread
 * @throws when the connection breaks before the end of the body
 */
export async function readBody (message: IncomingMessage, maximumBytes: number, memory?: MessageMemory): Promise<Buffer | undefined> {
  const statedBytes = Number(message.headers['content-length'] ?? 0)
  if (statedBytes > maximumBytes) return undefined
  if (message.destroyed) throw new Error('connection closed before the body was read')
  if (statedBytes > 0 && memory?.tryTake(statedBytes) === false) return undefined
  return statedBytes > LARGE_BODY_BYTES ? await readLargeBody(message, statedBytes, memory) : await readPieces(message, { maximumBytes, takesMemory: statedBytes === 0 }, memory)
}

async function readLargeBody (message: IncomingMessage, statedBytes: number, memory: MessageMemory | undefined): Promise<Buffer> {
  const body = Buffer.allocUnsafe(statedBytes)
  let length = 0
  message.on('data', (piece: Buffer) => {
    length += piece.copy(body, length)
    pauseFor(message.socket, memory?.recordPiece(piece.length) ?? 0)
  })
  await waitForEnd(message)
  return body
}

async function readPieces (message: IncomingMessage, { maximumBytes, takesMemory }: { maximumBytes: number, takesMemory: boolean }, memory: MessageMemory | undefined): Promise<Buffer | undefined> {
  const pieces = new PieceBuffer()
  const tryTake = (bytes: number): boolean => !takesMemory || memory?.tryTake(bytes) !== false
  return await new Promise((resolve, reject) => {
    const refuse = (): void => {
      message.off('data', append).pause()
      pieces.clear()
      resolve(undefined)
    }
    const append = (piece: Buffer): void => {
      if (pieces.length + piece.length > maximumBytes || !tryTake(pieces.measureGrowth(piece.length))) return refuse()
      pieces.append(piece)
      pauseFor(message.socket, memory?.recordPiece(piece.length) ?? 0)
    }
    message.on('data', append)
    // Joining the blocks takes the size of the body again.
    waitForEnd(message).then(() => { resolve(tryTake(pieces.length) ? pieces.take() : undefined) }, reject)
  })
}

async function waitForEnd (message: IncomingMessage): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    message.once('end', resolve)
    message.once('error', reject)
    message.once('close', () => { reject(new Error('connection closed before the end of the body')) })
  })
}
