import { join } from 'node:path'
import { ChildProcess } from '../../__tests__/scenarios/ChildProcess.js'
import { isListening } from '../../__tests__/scenarios/isListening.js'
import { parseScenario } from '../../__tests__/scenarios/parseScenario.js'
import { runStep } from '../../__tests__/scenarios/runScenario.js'
import { OPERATOR_TOKEN, World } from '../../__tests__/scenarios/World.js'
import { waitUntil } from '../../__tests__/standins/waitUntil.js'
import { OperatorClient } from '../../src/cli/OperatorClient.js'
import type { RouterSettings } from './RouterSettings.js'

const ROUTER_SCRIPT = 'build/__performance_tests__/load/naiveRouter.js'
const ROUTER_PORT = 7400
const START_TIMEOUT_MILLISECONDS = 10_000

/** Daemon processes, stand-in upstreams and routers without a policy for comparison. */
export class BenchWorld {
  readonly world: World
  readonly #routers: ChildProcess[] = []

  private constructor (world: World) {
    this.world = world
  }

  /**
   * Creates a scenario world and runs the steps of a scenario in it.
   *
   * @param scenarioText - steps to run, one a line
   * @throws Error with the message of the first step that fails, after closing the world
   */
  static async create (scenarioText: string): Promise<BenchWorld> {
    const bench = new BenchWorld(await World.create())
    for (const step of parseScenario(scenarioText)) {
      const failure = await runStep(bench.world, step)
      if (failure !== undefined) {
        await bench.close()
        throw new Error(failure)
      }
    }
    return bench
  }

  /** Kills the routers and closes the world. */
  async close (): Promise<void> {
    await Promise.all(this.#routers.map(async (router) => { await router.kill() }))
    await this.world.close(false)
  }

  /** @returns addresses of the upstreams of each service */
  listUpstreamAddresses (): Record<string, string[]> {
    const addresses: Record<string, string[]> = {}
    for (const { settings } of this.world.upstreams.values()) (addresses[settings.service] ??= []).push(settings.address)
    return addresses
  }

  /**
   * Starts routers without any policy.
   *
   * @param count - number of routers
   * @param isDirect - whether their look-ups return the upstream addresses instead of the router addresses
   * @returns the router addresses as `ip:port`, once all are listening
   */
  async startRouters (count: number, isDirect: boolean): Promise<string[]> {
    const firstNumber = this.#routers.length + 1
    const addresses = Array.from({ length: count }, (_, index) => `127.${this.world.network.number}.240.${firstNumber + index}:${ROUTER_PORT}`)
    for (const address of addresses) {
      const settings: RouterSettings = { address, upstreams: this.listUpstreamAddresses(), ...isDirect ? {} : { entryAddresses: addresses } }
      const router = new ChildProcess(address, ROUTER_SCRIPT, [JSON.stringify(settings)], join(this.world.folder, 'routers.output'))
      this.#routers.push(router)
      router.start()
    }
    for (const address of addresses) await waitUntil(async () => await isListening(address), START_TIMEOUT_MILLISECONDS)
    return addresses
  }

  /** @returns one client for the operator interface of each host */
  createOperatorClients (): OperatorClient[] {
    return [...this.world.hosts.values()].map((host) => new OperatorClient(host.operatorAddress, OPERATOR_TOKEN))
  }

  /** @returns process identifiers of the running hosts */
  listHostProcessIds (): number[] {
    return [...this.world.hosts.values()].flatMap((host) => host.process.pid ?? [])
  }
}
