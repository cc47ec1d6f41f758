import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Clients } from '../standins/Clients.mjs'
import { bounds } from '../standins/Platform.mjs'
import { BROKEN, HELD, runCase, sleep } from '../standins/runCase.mjs'
import { startSystem } from '../standins/startSystem.mjs'

const DOWN_MILLISECONDS = 600
const SERVES_ON_MILLISECONDS = 25_000

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ platform, record, hasTrouble }) => {
  const { servers } = await startSystem(platform, record, { edgeZones: ['oviedo', 'gijon', 'santander'], serverZones: ['gijon', 'oviedo', 'santander', 'bilbao'] })
  const clients = new Clients(platform.edges.map(({ front }) => front), record)
  clients.start(40)
  await sleep(6_000)
  const [leaving, ...staying] = servers
  const status = await leaving.deregister(platform.cores[0].control)
  const acknowledgedAt = performance.now()
  if (hasTrouble) await Promise.all(platform.cores.map((machine) => platform.kill(machine)))
  record('deregistered', { server: leaving.id, status })
  if (status !== 200) throw new Error('the departure was not acknowledged')
  await sleep(DOWN_MILLISECONDS)
  if (hasTrouble) for (const machine of platform.cores) platform.revive(machine)
  const calmFrom = Math.max(performance.now() + 1_000 + bounds.contact_s * 1_000, acknowledgedAt + bounds.drain_s * 1_000)
  await sleep(calmFrom - performance.now())
  const calmAt = performance.now()
  await sleep(SERVES_ON_MILLISECONDS - (performance.now() - acknowledgedAt))
  clients.stop()
  const late = leaving.runs.filter(({ arrivedAt }) => arrivedAt > calmAt)
  const all = staying.flatMap(({ runs }) => runs).filter(({ arrivedAt }) => arrivedAt > calmAt)
  record('verdict', { lateAtLeaving: late.length, atOthers: all.length, seconds: ((performance.now() - calmAt) / 1000).toFixed(1) })
  for (const server of servers) server.close()
  if (all.length < 100) throw new Error('too few requests ran')
  return late.length > 0 ? BROKEN : HELD
})
