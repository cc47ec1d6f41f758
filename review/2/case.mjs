import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { fetchConfig, postJson } from '../standins/calls.mjs'
import { composeConfig } from '../standins/composeConfig.mjs'
import { bounds } from '../standins/Platform.mjs'
import { BROKEN, HELD, runCase, sleep, waitUntil } from '../standins/runCase.mjs'
import { startSystem } from '../standins/startSystem.mjs'

const DOWN_MILLISECONDS = 500
/** More than `catch_up_s` between the return of one machine and the loss of the next one. */
const BETWEEN_LOSSES_MILLISECONDS = (bounds.catch_up_s + 4) * 1_000
const READING_MILLISECONDS = 20_000

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ platform, record, hasTrouble }) => {
  const { servers } = await startSystem(platform, record, { edgeZones: ['oviedo'], serverZones: ['gijon', 'oviedo'] })
  const leader = platform.findLeader()
  const [first, ...others] = platform.cores.filter((machine) => machine !== leader)
  record('acknowledged', { version: 1, leader: leader.name })

  const loseDisk = async (machine) => {
    await platform.kill(machine)
    platform.wipe(machine)
    await sleep(DOWN_MILLISECONDS)
    platform.revive(machine)
  }
  if (hasTrouble) {
    await loseDisk(first)
    // The machine loses its disk once more while the group takes it in again.
    await waitUntil(() => platform.readLog(first, 'event=join-asked').some((line) => line.includes('done=true') && isAfter(line, first.startedAt)), 10_000, 'the machine joins')
    await loseDisk(first)
    await sleep(BETWEEN_LOSSES_MILLISECONDS)
    for (const machine of others.slice(0, 3)) {
      await loseDisk(machine)
      await sleep(BETWEEN_LOSSES_MILLISECONDS)
    }
  }
  await sleep(5_000)

  // All machines run, none was disturbed for long: the operator changes the configuration, and reads it back.
  const deadline = performance.now() + READING_MILLISECONDS
  const orders = []
  const reads = []
  while (performance.now() < deadline) {
    for (const { control } of platform.cores) {
      orders.push(await postJson(control, '/config/replace', composeConfig(2, 1, 3)))
      const answer = await fetchConfig(control)
      reads.push(answer?.status === 200 ? JSON.parse(answer.text).version : answer?.status)
    }
    if (reads.includes('00000002')) break
    await sleep(200)
  }
  record('running', { machines: platform.cores.filter(({ child }) => child.exitCode === null && child.signalCode === null).map(({ name }) => name).join() })
  record('verdict', { orders: summarize(orders), reads: summarize(reads) })
  for (const server of servers) server.close()
  return reads.some((read) => typeof read === 'string') ? HELD : BROKEN
})

function isAfter (line, time) {
  return Date.parse(/time=(\S+)/.exec(line)[1]) >= time
}

function summarize (values) {
  const counts = {}
  for (const value of values) counts[value ?? 'none'] = (counts[value ?? 'none'] ?? 0) + 1
  return JSON.stringify(counts)
}
