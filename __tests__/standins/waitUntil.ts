import { setTimeout as sleep } from 'node:timers/promises'

const POLL_MILLISECONDS = 10

/**
 * Polls a condition until it holds.
 *
 * @param condition - the condition
 * @param timeoutMilliseconds - how long to poll at most
 * @returns whether it came to hold
 */
export async function waitUntil (condition: () => boolean | Promise<boolean>, timeoutMilliseconds = 5000): Promise<boolean> {
  const deadline = performance.now() + timeoutMilliseconds
  while (performance.now() < deadline) {
    if (await condition()) return true
    await sleep(POLL_MILLISECONDS)
  }
  return await condition()
}
