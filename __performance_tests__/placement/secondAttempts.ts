// Prints the 99th percentile and the share within the objective with second attempts off and at a ratio of 0.05, by load pattern.
import { NoisyDay } from './NoisyDay.js'
import { noisyPatterns } from './noisyPatterns.js'

const SEEDS = [1, 2, 3]
const formatPercent = (fraction: number): string => `${(fraction * 100).toFixed(1)}%`.padStart(7)

console.log('pattern                                  seed ratio    p99  within  served  extra  largest  begun   won  lost denied slot-s')
for (const { name, settings } of Object.values(noisyPatterns)) {
  for (const seed of SEEDS) {
    for (const secondAttemptRatio of [0, 0.05]) {
      const { p99, withinObjective, served, second, extraRatio, largestExtraRatio, slotMilliseconds } = await new NoisyDay({ ...settings, seed, secondAttemptRatio }).simulate()
      const counts = [second.begun, second.won, second.lost, second.denied].map((count) => String(count).padStart(6)).join('')
      console.log(`${name.padEnd(40)} ${String(seed).padStart(4)} ${String(secondAttemptRatio).padStart(5)} ${String(p99).padStart(6)} ${formatPercent(withinObjective)} ${formatPercent(served)} ${formatPercent(extraRatio)} ${formatPercent(largestExtraRatio)} ${counts} ${String(Math.round(slotMilliseconds / 1_000)).padStart(6)}`)
    }
  }
}
process.exit(0)
