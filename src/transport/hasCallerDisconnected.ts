import type { IncomingMessage } from 'node:http'
import { setImmediate as nextCheckPhase } from 'node:timers/promises'

/**
 * Detects that a caller closed its connection right after its request. The event loop reads a connection once per iteration,
 * so a process that was late would otherwise start work for callers that have already disconnected.
 *
 * @param message - request that has been read
 * @returns whether the caller has disconnected
 */
export async function hasCallerDisconnected ({ socket }: IncomingMessage): Promise<boolean> {
  // The first check phase ends this iteration, the second one follows the next poll phase.
  await nextCheckPhase()
  await nextCheckPhase()
  return socket.destroyed || socket.readableEnded
}
