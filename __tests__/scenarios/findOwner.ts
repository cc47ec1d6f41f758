import { waitUntil } from '../standins/waitUntil.js'
import { readWord, type StepRunner } from './StepRunner.js'

const FIND_TIMEOUT_MILLISECONDS = 10_000

interface HostStatus {
  upstreams: Array<{ service: string, granted: boolean }>
}

/**
 * `find-owner SERVICE DOMAIN`: assigns the alias `owner` to the host of the domain that holds grants of the service's
 * upstreams, and `other` to another host of the domain.
 */
export const findOwner: StepRunner = async (world, step) => {
  const service = readWord(step, 0)
  const hosts = world.selectHosts(readWord(step, 1))
  const isFound = await waitUntil(async () => {
    for (const host of hosts) {
      const reply = await world.callOperator(host, 'GET', '/v1/status')
      if (reply.status !== 200) continue
      const isOwner = (reply.body as HostStatus).upstreams.some((upstream) => upstream.service === service && upstream.granted)
      if (!isOwner) continue
      world.aliases.set('owner', host.name)
      world.aliases.set('other', hosts.find((other) => other !== host)?.name ?? '')
      return true
    }
    return false
  }, FIND_TIMEOUT_MILLISECONDS)
  if (!isFound) throw new Error(`line ${step.line}: no host owns ${service}`)
  world.notes.push(`owner of ${service} is ${world.aliases.get('owner') ?? ''}`)
}
