import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Clients } from '../standins/Clients.mjs'
import { bounds } from '../standins/Platform.mjs'
import { BROKEN, HELD, runCase, sleep } from '../standins/runCase.mjs'
import { startSystem } from '../standins/startSystem.mjs'

const DOWN_MILLISECONDS = 600
/** Time from the start of the core until all machines have run and been connected for `contact_s`. */
const SETTLE_MILLISECONDS = (bounds.contact_s + 1) * 1_000
const WATCH_MILLISECONDS = 8_000
/** Servers that leave one after the other; the edges may have heard of a departure before the kill, so one may hold. */
const DEPARTURES = 3

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ platform, record, hasTrouble }) => {
  const { servers } = await startSystem(platform, record, { edgeZones: ['oviedo', 'gijon', 'santander'], serverZones: ['gijon', 'oviedo', 'santander', 'bilbao', 'torrelavega', 'donostia'] })
  const clients = new Clients(platform.edges.map(({ front }) => front), record)
  clients.start(40)
  await sleep(6_000)
  let late = 0
  for (const leaving of servers.slice(0, DEPARTURES)) {
    late += await watchDeparture({ platform, record, hasTrouble, leaving })
    if (late > 0) break
  }
  clients.stop()
  const served = clients.answers.filter(({ status }) => status === 200)
  record('verdict', { lateAtLeaving: late, served: served.length })
  for (const server of servers) server.close()
  if (served.length < 100) throw new Error('too few requests were served')
  return late > 0 ? BROKEN : HELD
})

/** @returns number of requests that ran at a server long after its departure was acknowledged, while all machines were in touch */
async function watchDeparture ({ platform, record, hasTrouble, leaving }) {
  const status = await leaving.deregister(platform.cores[0].control)
  const acknowledgedAt = performance.now()
  if (hasTrouble) await Promise.all(platform.cores.map((machine) => platform.kill(machine)))
  record('deregistered', { server: leaving.id, status })
  if (status !== 200) throw new Error('the departure was not acknowledged')
  await sleep(DOWN_MILLISECONDS)
  if (hasTrouble) for (const machine of platform.cores) platform.revive(machine)
  await sleep(Math.max(SETTLE_MILLISECONDS, acknowledgedAt + bounds.drain_s * 1_000 - performance.now()))
  const calmAt = performance.now()
  record('calm', { sinceAcknowledgement: ((calmAt - acknowledgedAt) / 1000).toFixed(1) })
  await sleep(WATCH_MILLISECONDS)
  const late = leaving.runs.filter(({ arrivedAt }) => arrivedAt > calmAt).length
  record('watched', { server: leaving.id, late })
  leaving.close()
  return late
}
