import type { LoadPlan } from '../../src/cli/load/LoadPlan.js'
import type { LoadRecord } from '../../src/cli/load/LoadRecord.js'
import { runLoad } from '../../src/cli/load/runLoad.js'
import { RequestClass } from '../../src/types/RequestClass.js'
import { parseMilliseconds } from './parseScenario.js'
import { readNumberOption, readWord, type StepRunner } from './StepRunner.js'

/**
 * `load NAME service=S rate=N for=TIME [count=N] [class=one-time] [at=DOMAIN] [place=PLACE] [resends=N] [resend-within=TIME]
 * [deadline=TIME] [path=PATH] [body=BYTES]`: sends requests in the background.
 */
export const startLoad: StepRunner = (world, step) => {
  const name = readWord(step, 0)
  const service = step.options.get('service') ?? ''
  const requestClass = step.options.get('class') ?? world.sheet.classesByService.get(service)
  const plan: LoadPlan = {
    entryAddresses: (step.options.get('at') ?? 'all').split(',').flatMap((word) => world.selectHosts(word)).map((host) => host.guestAddress),
    place: step.options.get('place'),
    streams: [{
      service,
      requestClass: requestClass === RequestClass.OneTime ? RequestClass.OneTime : RequestClass.Idempotent,
      requestsPerSecond: readNumberOption(step, 'rate', 50),
      maximumRequests: readNumberOption(step, 'count', Infinity),
      path: step.options.get('path') ?? 'work',
      deadlineMilliseconds: parseMilliseconds(step.options.get('deadline') ?? '5s'),
      bodyBytes: readNumberOption(step, 'body', 100),
      resends: readNumberOption(step, 'resends', 0),
      resendWithinMilliseconds: parseMilliseconds(step.options.get('resend-within') ?? '1s')
    }],
    durationSeconds: parseMilliseconds(step.options.get('for') ?? '3s') / 1000,
    seed: world.seed * 100 + world.loads.size,
    schedule: []
  }
  const records: LoadRecord[] = []
  const startedAt = performance.timeOrigin + performance.now()
  const finished = runLoad(plan, (record) => { records.push(record) })
  world.loads.set(name, { name, records, startedAt, finished })
}

/** `finish [NAME …]`: waits until the named loads, by default all, have their last answers. */
export const finishLoads: StepRunner = async (world, step) => {
  const loads = [...world.loads.values()].filter((each) => step.words.length === 0 || step.words.includes(each.name))
  await Promise.all(loads.map(async (each) => { await each.finished }))
}
