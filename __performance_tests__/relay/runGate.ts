// Measures the time that the guard against poison requests adds to each request: node build/__performance_tests__/relay/runGate.js
import { createHash } from 'node:crypto'
import { createFingerprintRandom } from '../../src/relay/createFingerprintRandom.js'
import { PoisonGuard } from '../../src/relay/PoisonGuard.js'
import { RunGate } from '../../src/relay/RunGate.js'
import { createRelayedRequest } from '../../__tests__/relay/createRelayedRequest.js'

const REQUESTS = 200_000
const DISTINCT_REQUESTS = 50_000
const DEADLINE_MILLISECONDS = 600_000
const MICROSECONDS_PER_MILLISECOND = 1_000

const requests = Array.from({ length: DISTINCT_REQUESTS }, (_, number) => createRelayedRequest(createHash('sha256').update(String(number)).digest('hex'), DEADLINE_MILLISECONDS))

async function passGate (gate: RunGate, poison: PoisonGuard, number: number): Promise<void> {
  const request = requests[number % DISTINCT_REQUESTS]!
  const release = await gate.enter(request)
  if (!poison.isProven(request.fingerprint)) createFingerprintRandom(request.fingerprint)()
  poison.recordSuccess(request.fingerprint)
  if (typeof release !== 'string') release()
}

for (const distinctRequests of [1, DISTINCT_REQUESTS]) {
  const poison = new PoisonGuard()
  const gate = new RunGate(poison)
  const start = performance.now()
  for (let number = 0; number < REQUESTS; number += 1) await passGate(gate, poison, number % distinctRequests)
  console.log(`${distinctRequests} different requests: ${((performance.now() - start) / REQUESTS * MICROSECONDS_PER_MILLISECOND).toFixed(2)} microseconds a request`)
}
