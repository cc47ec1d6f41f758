import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { order } from '../standins/calls.mjs'
import { Clients } from '../standins/Clients.mjs'
import { bounds } from '../standins/Platform.mjs'
import { BROKEN, HELD, runCase, sleep } from '../standins/runCase.mjs'
import { startSystem } from '../standins/startSystem.mjs'

const ZONE = 'gijon'
const FROZEN_MILLISECONDS = 3_500
const WATCH_MILLISECONDS = 20_000

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ platform, record, hasTrouble }) => {
  const { servers } = await startSystem(platform, record, { edgeZones: ['oviedo', 'gijon', 'santander'], serverZones: ['gijon', 'gijon', 'santander', 'bilbao'] })
  const clients = new Clients(platform.edges.map(({ front }) => front), record)
  clients.start(40)
  const leader = platform.findLeader()
  const [follower, other] = platform.cores.filter((machine) => machine !== leader)
  const nodes = [follower.control, other.control, leader.control]

  await order([other.control, leader.control], `/evacuations/${ZONE}/begin`, undefined, record)
  await sleep(4_000)
  if (hasTrouble) platform.freeze(follower)
  const frozenAt = performance.now()
  await order(nodes, `/evacuations/${ZONE}/finish`, undefined, record)
  await sleep(1_000)
  const orderedBy = await order([other.control, leader.control], `/evacuations/${ZONE}/begin`, undefined, record)
  if (orderedBy === undefined) throw new Error('the second evacuation was not acknowledged')
  const acknowledgedAt = performance.now()
  await sleep(Math.max(0, FROZEN_MILLISECONDS - (performance.now() - frozenAt)))
  if (hasTrouble) platform.thaw(follower)
  const calmFrom = Math.max(performance.now() + bounds.contact_s * 2_000, acknowledgedAt + (bounds.evacuation_s + bounds.outer_s) * 1_000)
  await sleep(calmFrom - performance.now() + WATCH_MILLISECONDS)
  clients.stop()
  const late = servers.filter(({ zone }) => zone === ZONE).flatMap(({ runs }) => runs).filter(({ arrivedAt }) => arrivedAt > calmFrom)
  const all = servers.flatMap(({ runs }) => runs).filter(({ arrivedAt }) => arrivedAt > calmFrom)
  record('verdict', { lateInEvacuatedZone: late.length, ofAll: all.length })
  for (const server of servers) server.close()
  if (all.length < 100) throw new Error('too few requests ran')
  return late.length > 0 ? BROKEN : HELD
})
