import type { IncomingMessage } from 'node:http'
import { setImmediate as nextCheck } from 'node:timers/promises'

/**
 * Reads a close that came right behind a request. The event loop reads a connection once a turn, so that a process that
 * was late would otherwise begin work for callers that have left.
 *
 * @param message - a request that has been read
 * @returns whether its caller has left
 */
export async function hasCallerDisconnected ({ socket }: IncomingMessage): Promise<boolean> {
  // The first check ends this turn, the second one follows the next poll.
  await nextCheck()
  await nextCheck()
  return socket.destroyed || socket.readableEnded
}
