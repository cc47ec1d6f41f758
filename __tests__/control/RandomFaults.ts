import { fetchReplicaStatus } from '../../src/agreement/fetchReplicaStatus.js'
import { ReplicaRole } from '../../src/agreement/ReplicaRole.js'
import { pause } from '../../src/utils/pause.js'
import { Fault, type MemoryFiles } from '../agreement/support/MemoryFiles.js'
import type { ClusterControlHost, ControlCluster } from './ControlCluster.js'
import { CATCH_UP_MILLISECONDS, LossBudget } from './LossBudget.js'

const OBSERVER_ADDRESS = '127.0.0.98:7660'
const MAXIMUM_DELAY_MILLISECONDS = 60
const LEADER_SHARE = 0.35

type MachineFault = (machine: number) => Promise<void>

/** Draws faults from a seed, and carries them out within the budget of losses that a deployment must bear. */
export class RandomFaults {
  readonly budget = new LossBudget()
  readonly #cluster: ControlCluster
  readonly #random: () => number
  readonly #callPeer
  readonly #frozenAddresses = new Set<string>()
  readonly #machineFaults: Record<string, MachineFault>
  isStopped = false
  /** Number of times that all hosts were killed; what began before that time is over. */
  killCount = 0

  /**
   * @param cluster - hosts with a complete replica group
   * @param random - draws the faults
   */
  constructor (cluster: ControlCluster, random: () => number) {
    this.#cluster = cluster
    this.#random = random
    this.#callPeer = cluster.network.addHost(OBSERVER_ADDRESS).callPeer
    this.#machineFaults = {
      kill: async (machine) => { await this.#restart(machine, (files) => files.restartProcess()) },
      powerLoss: async (machine) => { await this.#restart(machine, (files) => files.createSurvivor()) },
      diskLoss: async (machine) => { await this.#restart(machine, () => cluster.createDisk()) },
      diskLossTwice: async (machine) => {
        await this.#restart(machine, () => cluster.createDisk())
        const { killCount } = this
        await pause(this.pickTime(2_500))
        if (killCount === this.killCount) await this.#restart(machine, () => cluster.createDisk())
      },
      hostLoss: async (machine) => { await this.#killFor(machine, (host) => { cluster.launchReplacement(host) }) },
      freeze: async (machine) => { await this.#freeze(machine) },
      cutOff: async (machine) => { await this.#cutOff(machine) },
      cutLink: async (machine) => { await this.#cutLink(machine) },
      stalledDisk: async (machine) => { await this.#stallDisk(machine) },
      refusedWrites: async (machine) => { await this.#refuseWrites(machine) }
    }
  }

  /** Whether an answer of a host to an operator or entry host arrives. */
  isReachable (host: ClusterControlHost): boolean {
    return this.#cluster.hosts.includes(host) && !host.files.hasCrashed && !this.#frozenAddresses.has(host.address)
  }

  /** @returns a time of up to a maximum, in milliseconds; short times are as likely as long ones */
  pickTime (maximumMilliseconds: number): number {
    return Math.round(maximumMilliseconds * this.#random() ** 2)
  }

  pick<Item> (items: readonly Item[]): Item {
    return items[Math.floor(this.#random() * items.length)]!
  }

  /** Carries out some faults, in series and overlapping; resolves when none is on. */
  async runBurst (): Promise<void> {
    const faults: Array<Promise<void>> = []
    const faultCount = 1 + Math.floor(this.#random() * 6)
    for (let count = 0; count < faultCount && !this.isStopped; count += 1) {
      faults.push(this.#runOne())
      await pause(this.pickTime(3_000))
    }
    await Promise.all(faults)
  }

  /**
   * Ends all other faults, kills all hosts at once, and starts them again.
   *
   * @param lostDisks - number of machines that lose their disks; those that count as lost already are the first among them
   * @param keepDisk - what the others find on their disks
   */
  async killAll (lostDisks: number, keepDisk: (files: MemoryFiles) => MemoryFiles): Promise<void> {
    const { hosts, network } = this.#cluster
    const lost = this.budget.listLost()
    while (lost.length < lostDisks) lost.push(this.pick([...hosts.keys()].filter((machine) => !lost.includes(machine))))
    const wiped = lost.slice(0, lostDisks)
    this.#record('all-killed', { wiped: wiped.map((machine) => hosts[machine]!.address).join(',') })
    this.killCount += 1
    this.budget.isBlocked = true
    for (const host of hosts) this.#cluster.kill(host)
    network.heal()
    for (const { address } of hosts) this.#resume(address)
    await Promise.all([...hosts].map(async (host, machine) => {
      await pause(this.pickTime(1_000))
      const files = wiped.includes(machine) ? this.#cluster.createDisk() : keepDisk(host.files)
      files.syncMilliseconds = 0
      this.#cluster.launch(host, files)
    }))
  }

  async #runOne (): Promise<void> {
    if (this.#random() < 0.15) {
      this.#slowDown()
      return
    }
    if (this.#random() < 0.1 && this.budget.isIdle && !this.budget.isBlocked) {
      await this.#killAllAndWait()
      return
    }
    const machine = await this.#pickMachine()
    const [name, run] = this.pick(Object.entries(this.#machineFaults))
    if (this.isStopped || !this.budget.take(machine)) return
    this.#record(`fault-${name}`, { address: this.#cluster.hosts[machine]!.address })
    await run(machine)
    this.#record(`end-${name}`, { address: this.#cluster.hosts[machine]!.address })
    this.budget.release(machine)
  }

  async #pickMachine (): Promise<number> {
    const { hosts } = this.#cluster
    if (this.#random() >= LEADER_SHARE) return Math.floor(this.#random() * hosts.length)
    const statuses = await Promise.all(hosts.map(({ address }) => fetchReplicaStatus(this.#callPeer, address, 100)))
    const leader = statuses.findIndex((status) => status?.role === ReplicaRole.Leader)
    return leader >= 0 ? leader : 0
  }

  /** All hosts count as lost until they have caught up, so nothing else is lost meanwhile. */
  async #killAllAndWait (): Promise<void> {
    const keepDisk = this.pick([(files: MemoryFiles) => files.restartProcess(), (files: MemoryFiles) => files.createSurvivor()])
    await this.killAll(this.pick([0, 0, 1, 2]), keepDisk)
    const { killCount } = this
    await pause(CATCH_UP_MILLISECONDS)
    if (killCount === this.killCount) this.budget.isBlocked = false
  }

  async #restart (machine: number, findFiles: (files: MemoryFiles) => MemoryFiles): Promise<void> {
    await this.#killFor(machine, (host) => { this.#cluster.launch(host, findFiles(host.files)) })
  }

  async #killFor (machine: number, launch: (host: ClusterControlHost) => void): Promise<void> {
    const host = this.#cluster.hosts[machine]!
    const { killCount } = this
    this.#cluster.kill(host)
    await pause(this.pickTime(6_000))
    if (killCount === this.killCount) launch(host)
  }

  async #freeze (machine: number): Promise<void> {
    const { address } = this.#cluster.hosts[machine]!
    this.#frozenAddresses.add(address)
    this.#cluster.network.pauseHost(address)
    await pause(this.pickTime(8_000))
    this.#resume(address)
  }

  #resume (address: string): void {
    if (this.#frozenAddresses.delete(address)) this.#cluster.network.resumeHost(address)
  }

  /** Cuts the links from a machine, those to it, or both. */
  async #cutOff (machine: number): Promise<void> {
    const { network, hosts } = this.#cluster
    const { address } = hosts[machine]!
    const direction = this.pick(['from', 'to', 'both'])
    for (const other of hosts) {
      if (direction !== 'to') network.cut(address, other.address)
      if (direction !== 'from') network.cut(other.address, address)
    }
    await pause(this.pickTime(8_000))
    this.#heal(address)
  }

  async #cutLink (machine: number): Promise<void> {
    const { network, hosts } = this.#cluster
    const { address } = hosts[machine]!
    network.cut(address, this.pick(hosts).address)
    await pause(this.pickTime(8_000))
    this.#heal(address)
  }

  #heal (address: string): void {
    for (const other of this.#cluster.hosts) {
      this.#cluster.network.mend(address, other.address)
      this.#cluster.network.mend(other.address, address)
    }
  }

  async #stallDisk (machine: number): Promise<void> {
    const { files } = this.#cluster.hosts[machine]!
    const stallMilliseconds = 300 + this.pickTime(8_000)
    files.syncMilliseconds = stallMilliseconds
    await pause(this.pickTime(8_000))
    files.syncMilliseconds = 0
    // A sync that has just begun still takes that long.
    await pause(stallMilliseconds)
  }

  async #refuseWrites (machine: number): Promise<void> {
    const { files } = this.#cluster.hosts[machine]!
    files.fault = this.pick([Fault.Error, Fault.ErrorOnce])
    files.faultAtOperation = files.operationCount + 1
    await pause(this.pickTime(6_000))
    files.faultAtOperation = Number.POSITIVE_INFINITY
  }

  /** Delays a link and slows a disk, by less than what counts as a loss. */
  #slowDown (): void {
    const { network, hosts } = this.#cluster
    network.setDelay(this.pick(hosts).address, this.pick(hosts).address, this.pickTime(MAXIMUM_DELAY_MILLISECONDS))
    this.pick(hosts).files.syncMilliseconds = this.pickTime(MAXIMUM_DELAY_MILLISECONDS)
  }

  #record (event: string, fields: object): void {
    this.#cluster.onRecord(performance.now(), 'test', event, fields)
  }
}
