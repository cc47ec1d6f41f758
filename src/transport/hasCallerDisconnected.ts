import type { IncomingMessage } from 'node:http'
import { passPollPhase } from '../utils/passPollPhase.js'

/**
 * Detects that a caller closed its connection right after its request. The event loop reads a connection once per iteration,
 * so a process that was late would otherwise start work for callers that have already disconnected.
 *
 * @param message - request that has been read
 * @returns whether the caller has disconnected
 */
export async function hasCallerDisconnected ({ socket }: IncomingMessage): Promise<boolean> {
  await passPollPhase()
  return socket.destroyed || socket.readableEnded
}
