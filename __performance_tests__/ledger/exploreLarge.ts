/**
 * Explores every reachable state of two claimants of one key, in bounds that take too long for the test run.
 * Run with `node build/__performance_tests__/ledger/exploreLarge.js`.
 */
import { exploreClaims } from '../../__tests__/ledger/exploreClaims.js'

const BOUNDS = [
  { members: 2, restarts: 2, seals: 1, deliveries: 1 },
  { members: 2, restarts: 2, seals: 2, deliveries: 1 },
  { members: 2, restarts: 1, seals: 1, deliveries: 2 },
  { members: 3, restarts: 1, seals: 1, deliveries: 1 },
  { members: 3, restarts: 2, seals: 0, deliveries: 1 }
]

for (const bounds of BOUNDS) {
  const { states, violation } = exploreClaims(bounds)
  console.log(`${JSON.stringify(bounds)}: ${states} states, ${violation ?? 'no violation'}`)
  if (violation !== undefined) process.exitCode = 1
}
