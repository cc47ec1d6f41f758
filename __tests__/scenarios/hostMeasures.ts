import type { ScenarioHost } from './ScenarioHost.js'
import type { Measure } from './runMeasures.js'
import type { World } from './World.js'

interface HostStatus {
  sheet?: { number: number, digest: string }
  inFlight: number
  upstreams: Array<{ service: string, granted: boolean, state: string }>
  members: Array<{ name: string, state: string }>
  counters: Record<string, number>
}

/** Lowest number of the sheets in force on running hosts, 0 for a host without a sheet: `sheet [HOST|DOMAIN]`. */
export const findLowestSheet: Measure = async (world, [word]) => {
  const statuses = await readStatuses(world, word)
  const numbers = statuses.map(({ host, status }) => ({ host, number: status?.sheet?.number ?? 0 }))
  const lowest = numbers.reduce((lowestSoFar, each) => each.number < lowestSoFar.number ? each : lowestSoFar, numbers[0] ?? { host: '', number: 0 })
  return { value: lowest.number, detail: numbers.map(({ host, number }) => `${host} ${number}`).join(', ') }
}

/** Number of different contents of the sheets in force on running hosts: `sheet-digests`. */
export const countSheetDigests: Measure = async (world, [word]) => {
  const digests = (await readStatuses(world, word)).map(({ status }) => status?.sheet?.digest ?? 'none')
  return { value: new Set(digests).size, detail: digests.join(', ') }
}

/** Number of upstreams whose grants running hosts hold: `granted [HOST|DOMAIN]`. */
export const countGrants: Measure = async (world, [word]) => {
  const statuses = await readStatuses(world, word)
  const counts = statuses.map(({ host, status }) => ({ host, count: status?.upstreams.filter((upstream) => upstream.granted).length ?? 0 }))
  return { value: counts.reduce((sum, each) => sum + each.count, 0), detail: counts.map(({ host, count }) => `${host} ${count}`).join(', ') }
}

/** Smallest number of hosts that any running host sees alive, itself included: `alive [HOST|DOMAIN]`. */
export const findMinimumAliveHosts: Measure = async (world, [word]) => {
  const statuses = await readStatuses(world, word)
  const counts = statuses.map(({ host, status }) => ({ host, count: status?.members.filter((member) => member.state === 'alive').length ?? 0 }))
  return { value: Math.min(...counts.map((each) => each.count)), detail: counts.map(({ host, count }) => `${host} ${count}`).join(', ') }
}

/** Number of requests in flight on running hosts: `in-flight [HOST|DOMAIN]`. */
export const countInFlightRequests: Measure = async (world, [word]) => {
  const statuses = await readStatuses(world, word)
  return { value: statuses.reduce((sum, { status }) => sum + (status?.inFlight ?? 0), 0) }
}

/** Exit code of a process, `running` while it runs: `exit NAME`. */
export const readExitCode: Measure = (world, [word]) => {
  const process = world.selectProcesses(word ?? '')[0]
  return { value: process?.exitCode ?? 'running' }
}

/** HTTP status of a submission, `none` before it is made: `submit NAME`. */
export const readSubmissionStatus: Measure = (world, [name]) => {
  const submission = world.submissions.get(name ?? '')
  return { value: submission?.reply.status ?? 'none', detail: JSON.stringify(submission?.reply.body) }
}

/** Number of submissions that were answered with an HTTP status: `submits-with STATUS`. */
export const countSubmissionsWithStatus: Measure = (world, [status]) => {
  const matching = [...world.submissions.values()].filter((submission) => submission.reply.status === Number(status))
  return { value: matching.length, detail: [...world.submissions.values()].map(({ name, reply }) => `${name} ${reply.status}`).join(', ') }
}

/** Sum of a counter over running hosts: `counter NAME`. */
export const sumCounter: Measure = async (world, [name]) => {
  const statuses = await readStatuses(world, undefined)
  return { value: statuses.reduce((sum, { status }) => sum + (status?.counters[name ?? ''] ?? 0), 0) }
}

async function readStatuses (world: World, word: string | undefined): Promise<Array<{ host: string, status: HostStatus | undefined }>> {
  const hosts = word === undefined ? [...world.hosts.values()] : world.selectHosts(word)
  const running = hosts.filter((host) => host.process.isRunning)
  return await Promise.all(running.map(async (host) => ({ host: host.name, status: await readStatus(world, host) })))
}

async function readStatus (world: World, host: ScenarioHost): Promise<HostStatus | undefined> {
  const reply = await world.callOperator(host, 'GET', '/v1/status')
  return reply.status === 200 ? reply.body as HostStatus : undefined
}
