import { setTimeout as sleep } from 'node:timers/promises'
import { defineCommand } from 'citty'
import type { HostStatus } from '../daemon/describeStatus.js'
import { exitWithError } from './exitWithError.js'
import { createOperatorClient, type OperatorClient } from './OperatorClient.js'
import { operatorArguments } from './operatorArguments.js'

const POLL_INTERVAL_MILLISECONDS = 200
const REFUSED_EXIT_CODE = 1

/** `hibiscusrelay drain`: empties one upstream, or stops one host gracefully. */
export const drainCommand = defineCommand({
  meta: { name: 'drain', description: 'Empty an upstream (--upstream ip:port), or stop the asked host gracefully (--host)' },
  args: {
    ...operatorArguments,
    upstream: { type: 'string', description: 'Address of the upstream, ip:port' },
    host: { type: 'boolean', description: 'Drain the host that is asked' },
    watch: { type: 'boolean', description: 'Show what still runs until nothing does' }
  },
  run: async ({ args }) => {
    if ((args.upstream === undefined) === (args.host !== true)) return exitWithError('give either --upstream or --host')
    const client = createOperatorClient(args)
    const path = args.upstream === undefined ? '/v1/drains/host' : `/v1/drains/upstream?address=${encodeURIComponent(args.upstream)}`
    const reply = await client.post<{ message?: string }>(path)
    if (reply.status >= 300) {
      console.error(reply.body.message ?? `refused with status ${reply.status}`)
      process.exit(REFUSED_EXIT_CODE)
    }
    if (args.watch === true) await watch(client, args.upstream)
    else console.log('draining')
  }
})

async function watch (client: OperatorClient, upstream: string | undefined): Promise<void> {
  const startedAt = performance.now()
  let runningRequests = await countRunningRequests(client, upstream)
  while (runningRequests !== undefined) {
    console.log(`${Math.round(performance.now() - startedAt)} ms: ${runningRequests} requests still run`)
    await sleep(POLL_INTERVAL_MILLISECONDS)
    runningRequests = await countRunningRequests(client, upstream)
  }
  console.log(`drained after ${Math.round(performance.now() - startedAt)} ms`)
}

async function countRunningRequests (client: OperatorClient, address: string | undefined): Promise<number | undefined> {
  const reply = await client.get<HostStatus>('/v1/status').catch(() => undefined)
  if (reply === undefined) return undefined
  if (address === undefined) return reply.body.inFlight
  return reply.body.upstreams.find((upstream) => upstream.address === address)?.running
}
