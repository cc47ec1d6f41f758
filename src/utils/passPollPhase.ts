import { setImmediate as nextCheckPhase } from 'node:timers/promises'

/** Waits until the event loop has looked once for what arrived at its connections and listeners. */
export async function passPollPhase (): Promise<void> {
  // The first check phase ends this iteration, the second one follows the next poll phase.
  await nextCheckPhase()
  await nextCheckPhase()
}
