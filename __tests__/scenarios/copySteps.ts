import { GuestClient } from '../../src/cli/load/GuestClient.js'
import type { GuestRequest } from '../../src/cli/load/GuestRequest.js'
import type { LoadRecord } from '../../src/cli/load/LoadRecord.js'
import { RequestClass } from '../../src/types/RequestClass.js'
import type { HostEntry } from './HostEntry.js'
import { parseMilliseconds } from './parseScenario.js'
import { numberOf, wordOf, type StepRunner } from './StepRunner.js'

const MIDDLE = 0.5

/**
 * `copies NAME service=S count=N [class=one-time] [path=PATH] [deadline=TIME]`: sends copies of one request at the same
 * time, in turn by guests that know only one host each. Copies of one-time actions have keys of their own.
 */
export const sendCopies: StepRunner = (world, step) => {
  const name = wordOf(step, 0)
  const hosts = world.selectHosts('all').filter((host) => host.process.running)
  const isOnce = step.options.get('class') === RequestClass.OneTime
  const records: LoadRecord[] = []
  const startedAt = performance.timeOrigin + performance.now()
  const start = performance.now()
  const token = `${name}-${world.seed}`
  const sendings = Array.from({ length: numberOf(step, 'count', hosts.length) }, async (_, copy) => {
    const request: GuestRequest = {
      sending: `${token}-${copy}`,
      service: step.options.get('service') ?? '',
      requestClass: isOnce ? RequestClass.OneTime : RequestClass.Idempotent,
      path: `${step.options.get('path') ?? 'work?'}&token=${token}`,
      body: Buffer.from(token),
      guestKey: isOnce ? `${token}-${copy}` : undefined,
      ticket: undefined,
      deadline: start + parseMilliseconds(step.options.get('deadline') ?? '5s')
    }
    records.push({ ...await sendThrough(hosts[copy % hosts.length]!, request, start), token })
  })
  const done = Promise.all(sendings).then(() => {})
  world.loads.set(name, { name, records, startedAt, done })
}

async function sendThrough (host: HostEntry, request: GuestRequest, start: number): Promise<Omit<LoadRecord, 'token'>> {
  const client = new GuestClient([host.guestAddress], undefined, () => MIDDLE)
  const sentMilliseconds = performance.now() - start
  const answer = await client.send(request)
  await client.close()
  return { request, answer, intendedMilliseconds: 0, sentMilliseconds, latencyMilliseconds: performance.now() - start, sendDelayMilliseconds: sentMilliseconds }
}
