import { setTimeout as sleep } from 'node:timers/promises'
import { defineCommand } from 'citty'
import type { HostStatus } from '../daemon/describeStatus.js'
import { exitWithError } from './exitWithError.js'
import { createOperatorClient, type OperatorClient } from './OperatorClient.js'
import { operatorArguments } from './operatorArguments.js'

const POLL_INTERVAL_MILLISECONDS = 200
const REFUSED_EXIT_CODE = 1

/** `hibiscusrelay drain`: drains an upstream, or drains a host and stops it. */
export const drainCommand = defineCommand({
  meta: { name: 'drain', description: 'Drain an upstream (--upstream ip:port), or drain the contacted host and stop it (--host)' },
  args: {
    ...operatorArguments,
    upstream: { type: 'string', description: 'Address of the upstream, ip:port' },
    host: { type: 'boolean', description: 'Drain the contacted host' },
    watch: { type: 'boolean', description: 'Print the number of running requests until the drain is complete' }
  },
  run: async ({ args }) => {
    if ((args.upstream === undefined) === (args.host !== true)) return exitWithError('give exactly one of --upstream and --host')
    const client = createOperatorClient(args)
    const path = args.upstream === undefined ? '/v1/drains/host' : `/v1/drains/upstream?address=${encodeURIComponent(args.upstream)}`
    const reply = await client.post<{ message?: string }>(path)
    if (reply.status >= 300) {
      console.error(reply.body.message ?? `the host refused the drain with status ${reply.status}`)
      process.exit(REFUSED_EXIT_CODE)
    }
    if (args.watch === true) await watchDrain(client, args.upstream)
    else console.log('draining')
  }
})

async function watchDrain (client: OperatorClient, upstream: string | undefined): Promise<void> {
  const startedAt = performance.now()
  let runningRequests = await countRunningRequests(client, upstream)
  while (runningRequests !== undefined) {
    console.log(`${Math.round(performance.now() - startedAt)} ms: ${runningRequests} requests still running`)
    await sleep(POLL_INTERVAL_MILLISECONDS)
    runningRequests = await countRunningRequests(client, upstream)
  }
  console.log(`drained after ${Math.round(performance.now() - startedAt)} ms`)
}

/** @returns the number of running requests; undefined when the host no longer responds, or no longer lists the upstream */
async function countRunningRequests (client: OperatorClient, address: string | undefined): Promise<number | undefined> {
  const reply = await client.get<HostStatus>('/v1/status').catch(() => undefined)
  if (reply === undefined) return undefined
  if (address === undefined) return reply.body.inFlight
  return reply.body.upstreams.find((upstream) => upstream.address === address)?.running
}
