import { GuestClient } from '../../src/cli/load/GuestClient.js'
import type { GuestRequest } from '../../src/cli/load/GuestRequest.js'
import type { LoadRecord } from '../../src/cli/load/LoadRecord.js'
import { RequestClass } from '../../src/types/RequestClass.js'
import type { ScenarioHost } from './ScenarioHost.js'
import { parseMilliseconds } from './parseScenario.js'
import { readNumberOption, readWord, type StepRunner } from './StepRunner.js'

const FIXED_RANDOM_FRACTION = 0.5

/**
 * `copies NAME service=S count=N [class=one-time] [path=PATH] [deadline=TIME]`: sends copies of one request at the same
 * time, distributed over the running hosts in turn, each by a guest that knows only its host. Copies of one-time actions have
 * different keys.
 */
export const sendCopies: StepRunner = (world, step) => {
  const name = readWord(step, 0)
  const hosts = world.selectHosts('all').filter((host) => host.process.isRunning)
  const isOneTime = step.options.get('class') === RequestClass.OneTime
  const records: LoadRecord[] = []
  const startedAt = performance.timeOrigin + performance.now()
  const monotonicStart = performance.now()
  const token = `${name}-${world.seed}`
  const sendings = Array.from({ length: readNumberOption(step, 'count', hosts.length) }, async (_, copyIndex) => {
    const request: GuestRequest = {
      sending: `${token}-${copyIndex}`,
      service: step.options.get('service') ?? '',
      requestClass: isOneTime ? RequestClass.OneTime : RequestClass.Idempotent,
      path: `${step.options.get('path') ?? 'work?'}&token=${token}`,
      body: Buffer.from(token),
      guestKey: isOneTime ? `${token}-${copyIndex}` : undefined,
      ticket: undefined,
      deadline: monotonicStart + parseMilliseconds(step.options.get('deadline') ?? '5s')
    }
    records.push({ ...await sendThrough(hosts[copyIndex % hosts.length]!, request, monotonicStart), token })
  })
  const finished = Promise.all(sendings).then(() => {})
  world.loads.set(name, { name, records, startedAt, finished })
}

async function sendThrough (host: ScenarioHost, request: GuestRequest, monotonicStart: number): Promise<Omit<LoadRecord, 'token'>> {
  const client = new GuestClient([host.guestAddress], undefined, () => FIXED_RANDOM_FRACTION)
  const sentMilliseconds = performance.now() - monotonicStart
  const answer = await client.send(request)
  await client.close()
  return { request, answer, intendedMilliseconds: 0, sentMilliseconds, latencyMilliseconds: performance.now() - monotonicStart, sendDelayMilliseconds: sentMilliseconds }
}
