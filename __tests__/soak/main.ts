// Runs soaks: --seed FIRST --seeds COUNT --seconds OF_FAULTS --entry-hosts COUNT. Exits with 1 when a rule was broken.
import { parseArgs } from 'node:util'
import { runSoak } from './runSoak.js'

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seeds: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '40' },
    'entry-hosts': { type: 'string', default: '3' }
  }
})
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => { process.exit(1) })
const firstSeed = Number(values.seed)
let brokenSeeds = 0
for (let seed = firstSeed; seed < firstSeed + Number(values.seeds); seed += 1) {
  const { seconds, acknowledged, faults, slowSeconds, judgedRequests, requests, breaches, lines, folder } = await runSoak({ seed, faultMilliseconds: Number(values.seconds) * 1_000, entryHosts: Number(values['entry-hosts']) })
  console.log(`seed ${seed}: ${breaches.length === 0 ? 'held' : 'BROKEN'}, ${seconds.toFixed(0)} s, ${acknowledged} acknowledged, ${faults} faults, ${judgedRequests} of ${requests} requests judged, machine slow for ${slowSeconds.toFixed(1)} s`)
  if (breaches.length === 0) continue
  brokenSeeds += 1
  console.log(`${lines.join('\n')}\nlogs in ${folder}`)
}
process.exitCode = brokenSeeds === 0 ? 0 : 1
