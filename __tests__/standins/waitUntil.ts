import { setTimeout as sleep } from 'node:timers/promises'

const POLL_MILLISECONDS = 10

/**
 * Polls a condition until it is true or the timeout has passed.
 *
 * @param condition - condition to poll
 * @param timeoutMilliseconds - time after which polling ends, 5 seconds by default
 * @returns whether the condition became true
 */
export async function waitUntil (condition: () => boolean | Promise<boolean>, timeoutMilliseconds = 5000): Promise<boolean> {
  const deadline = performance.now() + timeoutMilliseconds
  while (performance.now() < deadline) {
    if (await condition()) return true
    await sleep(POLL_MILLISECONDS)
  }
  return await condition()
}
