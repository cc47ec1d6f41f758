import { setTimeout as sleep } from 'node:timers/promises'

const CHECK_INTERVAL_MILLISECONDS = 20

/**
 * Waits until a condition holds, by checking it repeatedly.
 *
 * @param condition - returns whether the condition holds
 * @param deadline - end of the wait, on the clock of `performance.now()`
 * @returns whether the condition held before the deadline
 */
export async function waitUntil (condition: () => boolean, deadline: number): Promise<boolean> {
  while (!condition()) {
    if (performance.now() >= deadline) return false
    await sleep(Math.max(1, Math.min(CHECK_INTERVAL_MILLISECONDS, deadline - performance.now())))
  }
  return true
}
