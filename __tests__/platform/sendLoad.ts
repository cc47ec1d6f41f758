import { setTimeout as sleep } from 'node:timers/promises'
import { sendGuestRequest } from '../../examples/platform/httpCalls.js'
import type { PlatformSystem } from '../../examples/platform/PlatformSystem.js'

/** What came of the requests of {@link sendLoad}. */
export interface LoadResult {
  served: number
  sent: number
}

/** Settings of {@link sendLoad}. */
export interface LoadOptions {
  system: PlatformSystem
  entryHosts: number
  /** Names the objects and the requests: each load has one of its own. */
  name: string
  intervalMilliseconds: number
  milliseconds: number
  /** Returns the object of the request with a number; its name ends with the number. By default the name of the load and the number. */
  chooseObject?: (number: number) => string
}

/**
 * Sends requests through all entry hosts in turn, each for an object of its own.
 *
 * @param options - how many requests, and where
 * @returns how many were sent, and how many of them had status 200
 */
export async function sendLoad ({ system, entryHosts, name, intervalMilliseconds, milliseconds, chooseObject = (number) => `${name}-${number}` }: LoadOptions): Promise<LoadResult> {
  const answers: Array<Promise<boolean>> = []
  const deadline = performance.now() + milliseconds
  for (let number = 0; performance.now() < deadline; number += 1) {
    answers.push(sendGuestRequest(system.getGuestAddress(number % entryHosts), `/lookups/${chooseObject(number)}`, `${name}-${number}`).then(({ status }) => status === 200, () => false))
    await sleep(intervalMilliseconds)
  }
  const results = await Promise.all(answers)
  return { served: results.filter(Boolean).length, sent: results.length }
}
