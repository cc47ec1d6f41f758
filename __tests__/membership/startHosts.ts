import type { TestContext } from 'node:test'
import { advance, pauseClock } from '../support/pauseClock.js'
import { StandInHosts } from './StandInHosts.js'

const START_MILLISECONDS = 3000

/** Starts hosts on a paused clock and lets them discover each other. Messages take 1 ms within a region and 55 ms between regions. */
export async function startHosts (context: TestContext, domainCount = 6, hostsPerDomain = 3, seed = 1): Promise<StandInHosts> {
  pauseClock(context)
  const hosts = new StandInHosts(domainCount, hostsPerDomain, seed)
  const regionsByHost = new Map(hosts.identities.map((identity) => [identity.name, identity.region]))
  hosts.network.delay = (from, to) => regionsByHost.get(from) === regionsByHost.get(to) ? 1 : 55
  hosts.start()
  context.after(() => { hosts.stop() })
  await advance(context, START_MILLISECONDS)
  return hosts
}
