// Runs soaks: --seed FIRST --seeds COUNT --seconds OF_FAULTS --entry-hosts COUNT --raw-guests COUNT --endless-guests COUNT. Exits with 1 when a rule was broken.
import { parseArgs } from 'node:util'
import { formatAnswers } from './raw/summarizeAnswers.js'
import { runSoak } from './runSoak.js'
import { CONTROL_HOSTS } from './SoakSystem.js'

const MAXIMUM_PROCESSES = 24

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seeds: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '40' },
    'entry-hosts': { type: 'string', default: '3' },
    'raw-guests': { type: 'string', default: '0' },
    'endless-guests': { type: 'string', default: '0' }
  }
})
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => { process.exit(1) })
const entryHosts = Number(values['entry-hosts'])
if (entryHosts + CONTROL_HOSTS > MAXIMUM_PROCESSES) throw new RangeError(`at most ${MAXIMUM_PROCESSES - CONTROL_HOSTS} entry hosts`)
const firstSeed = Number(values.seed)
let brokenSeeds = 0
for (let seed = firstSeed; seed < firstSeed + Number(values.seeds); seed += 1) {
  const { seconds, acknowledged, faults, slowSeconds, judgedRequests, requests, besideEndless, answers, breaches, lines, folder } = await runSoak({ seed, faultMilliseconds: Number(values.seconds) * 1_000, entryHosts, rawGuests: Number(values['raw-guests']), endlessGuests: Number(values['endless-guests']) })
  console.log(`seed ${seed}: ${breaches.length === 0 ? 'held' : 'BROKEN'}, ${seconds.toFixed(0)} s, ${acknowledged} acknowledged, ${faults} faults, ${judgedRequests} of ${requests} requests judged, machine slow for ${slowSeconds.toFixed(1)} s`)
  if (answers.requests > 0) console.log(`  ${formatAnswers(answers)}`)
  if (Number(values['endless-guests']) > 0) console.log(`  ${JSON.stringify(besideEndless)}`)
  if (breaches.length === 0) continue
  brokenSeeds += 1
  console.log(`${lines.join('\n')}\nlogs in ${folder}`)
}
process.exitCode = brokenSeeds === 0 ? 0 : 1
