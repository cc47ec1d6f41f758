import { composeConfig } from './composeConfig.mjs'
import { call, order } from './calls.mjs'
import { Server } from './Server.mjs'
import { waitUntil } from './runCase.mjs'

const START_MILLISECONDS = 25_000
/** Core machines that form the group; the others are taken in afterwards. */
const SEEDS = 3

/** Starts machines and servers, submits the first configuration, and waits until every edge is ready. */
export async function startSystem (platform, record, { coreZones, edgeZones, serverZones, serverOptions = {} }) {
  await platform.start({ coreZones, edgeZones })
  const coreAddresses = () => platform.cores.map(({ control }) => control)
  await waitUntil(async () => await order(coreAddresses(), '/config/replace', composeConfig(1, 0), record) !== undefined, START_MILLISECONDS, 'the first configuration')
  const servers = serverZones.map((zone, number) => new Server({ id: `i-${zone}-${number}`, service: 'inventario', zone, ip: platform.addressOf(number + 1), cores: coreAddresses, record, ...serverOptions }))
  await Promise.all(servers.map((server) => server.open()))
  await waitUntil(() => platform.edges.every((machine) => platform.readLog(machine, 'event=plan-in-force').length > 0), START_MILLISECONDS, 'the configuration at the edges')
  await waitUntil(async () => (await Promise.all(platform.edges.map(({ ready }) => call({ address: ready, method: 'GET', path: '/readiness', headers: {}, body: '', milliseconds: 1_000 })))).every((answer) => answer?.status === 200), START_MILLISECONDS, 'the edges')
  // All six core machines vote before anything is done to one of them.
  const countPromotions = (machine) => platform.readLog(machine, 'event=group-repaired').filter((line) => line.includes('kind=promote') && line.includes('done=true')).length
  await waitUntil(() => platform.cores.reduce((sum, machine) => sum + countPromotions(machine), 0) >= platform.cores.length - SEEDS, START_MILLISECONDS, 'the full group')
  return { servers, coreAddresses }
}
