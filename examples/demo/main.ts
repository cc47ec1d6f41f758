import { once } from 'node:events'
import { defineCommand, runMain } from 'citty'
import { reserveNetwork } from '../../__tests__/scenarios/reserveNetwork.js'
import { DemoSystem } from './DemoSystem.js'
import { runPlatformDemo } from '../platform/runPlatformDemo.js'
import { runDemo } from './runDemo.js'

await runMain(defineCommand({
  meta: { name: 'demo', description: 'Run a small system on loopback addresses' },
  args: {
    plan: { type: 'boolean', default: false, description: 'demonstrate the platform form: control hosts, an entry host and a routing plan' },
    stay: { type: 'boolean', default: false, description: 'keep the system running until interrupted, and print its addresses' }
  },
  run: async ({ args }) => { await (args.plan ? showPlatform() : showSystem(args.stay)) }
}))

async function showPlatform (): Promise<void> {
  const network = await reserveNetwork()
  try {
    await runPlatformDemo(network.number)
  } finally {
    network.release()
  }
}

async function showSystem (stay: boolean): Promise<void> {
  const network = await reserveNetwork()
  const system = new DemoSystem(network.number)
  const interrupted = once(process, 'SIGINT')
  try {
    await Promise.race([runDemo(system), interrupted])
    if (stay) await keepRunningUntil(system, interrupted)
  } finally {
    await system.close()
    network.release()
  }
}

async function keepRunningUntil (system: DemoSystem, interrupted: Promise<unknown>): Promise<void> {
  const [firstHost] = system.hosts
  console.log('\nRunning until Ctrl-C. Variables for the examples in docs/INTERFACES.md:')
  console.log(`ENTRY=${firstHost?.guestAddress} OPERATOR=${firstHost?.operatorAddress} TOKEN=$(cut -d: -f2 ${system.tokenFile}) SHEET=${system.sheetFile}`)
  await interrupted
}
