import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { appendFileSync, existsSync, mkdirSync, mkdtempSync, openSync, closeSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { ReplicaFile } from '../../src/agreement/storage/ReplicaFile.js'
import { encodeFrame } from '../../src/agreement/storage/encodeFrame.js'
import { listRuntimeOptions } from '../support/listRuntimeOptions.js'
import { renderTemplate } from './renderTemplate.js'
import { sendOrder } from './sendOrder.js'
import type { Disturbance, SoakRecord } from './SoakRecord.js'

const PORTS = { internal: 27_660, front: 27_144, ready: 27_140, control: 27_146, directory: 27_143 }
const SEEDS = 3
/** Time after which the platform starts a process again that ended by itself. */
const OWN_RESTART_MILLISECONDS = 300
const ANSWER_MILLISECONDS = 1_000
const POLL_MILLISECONDS = 50
/** Part of the time to catch up that a start takes on a quiet machine. */
const USUAL_START_MILLISECONDS = 500

/** Failure domains and their regions, with one control host in each. */
export const ZONES: Record<string, string> = { oviedo: 'asturias', santander: 'cantabria', bilbao: 'euskadi', gijon: 'asturias', torrelavega: 'cantabria', donostia: 'euskadi' }
export const DOMAINS = Object.keys(ZONES)
export const CONTROL_HOSTS = DOMAINS.length
/** Losses that the deployment is to bear at the same time. */
export const TOLERATED_LOSSES = 2

const BOUNDS = { grace_s: 6, retry_budget_ratio: 0.2, budget_window_s: 10, retry_allowance: 112 }

/** What a host's data folder is like when its process starts again. */
export enum Disk {
  Kept = 'kept',
  Lost = 'lost',
  /** The log ends in the first part of a write that was not synced. */
  Torn = 'torn'
}

/** A host of the system. */
export interface SoakHost {
  name: string
  role: 'control' | 'entry'
  ip: string
  domain: string
  dataFolder: string
  logFile: string
  settingsFile: string
  process: ChildProcess | undefined
  /** Number of its process runs so far. */
  runs: number
  isFirstStart: boolean
  /** Whether a fault keeps its process from being started. */
  isHeldDown: boolean
  isFrozen: boolean
  /** Its present disturbance. */
  disturbance: Disturbance | undefined
}

/** Control hosts and entry hosts of the platform form as processes, with the settings that the deploy file renders. */
export class SoakSystem {
  readonly hosts: SoakHost[]
  readonly folder = mkdtempSync(join(tmpdir(), 'hibiscusrelay-soak-'))
  readonly #record: Pick<SoakRecord, 'disturbances' | 'ends' | 'reloads'>
  readonly #template = readFileSync('deploy/settings.ini', 'utf8')
  readonly #killAll = (): void => { for (const host of this.hosts) host.process?.kill('SIGKILL') }
  #isStopping = false

  /**
   * @param networkNumber - second number of the loopback addresses
   * @param entryHostCount - number of entry hosts
   * @param record - receives disturbances, reloads and ends of hosts
   */
  constructor (networkNumber: number, entryHostCount: number, record: Pick<SoakRecord, 'disturbances' | 'ends' | 'reloads'>) {
    this.#record = record
    const create = (role: 'control' | 'entry', number: number, domain: string): SoakHost => {
      const name = `${role}-${number}`
      const ip = `127.${networkNumber}.0.${role === 'control' ? number + 1 : CONTROL_HOSTS + number + 1}`
      return { name, role, ip, domain, dataFolder: join(this.folder, `data-${name}`), logFile: join(this.folder, `${name}.log`), settingsFile: join(this.folder, `${name}.ini`), process: undefined, runs: 0, isFirstStart: true, isHeldDown: false, isFrozen: false, disturbance: undefined }
    }
    this.hosts = [
      ...DOMAINS.map((domain, number) => create('control', number, domain)),
      ...Array.from({ length: entryHostCount }, (_, number) => create('entry', number, DOMAINS[number % DOMAINS.length]!))
    ]
  }

  get controlHosts (): SoakHost[] {
    return this.hosts.filter(({ role }) => role === 'control')
  }

  get entryHosts (): SoakHost[] {
    return this.hosts.filter(({ role }) => role === 'entry')
  }

  /** @returns address of the operator's interface of a control host */
  getControlAddress (number: number): string {
    return `${this.controlHosts[number]!.ip}:${PORTS.control}`
  }

  /** @returns guest address of an entry host */
  getGuestAddress (number: number): string {
    return `${this.entryHosts[number]!.ip}:${PORTS.front}`
  }

  /** Starts all hosts for the first time. They end with this process, however it ends. */
  start (): void {
    process.once('exit', this.#killAll)
    for (const host of this.hosts) {
      mkdirSync(host.dataFolder)
      this.#disturb(host, 'start')
      this.#spawn(host).catch(() => {})
    }
  }

  /** Ends a host's process by a signal and keeps it down; SIGKILL follows SIGTERM after the grace period. */
  async end (host: SoakHost, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    host.isHeldDown = true
    this.#disturb(host, signal)
    const child = host.process
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return
    const exited = once(child, 'exit')
    child.kill(signal)
    const timer = setTimeout(() => { child.kill('SIGKILL') }, BOUNDS.grace_s * 1_000)
    await exited
    clearTimeout(timer)
  }

  /**
   * Starts a host again whose process was ended.
   *
   * @returns when it was back, undefined when its process ended before
   */
  async revive (host: SoakHost, disk: Disk): Promise<number | undefined> {
    if (disk === Disk.Lost) {
      rmSync(host.dataFolder, { recursive: true, force: true })
      mkdirSync(host.dataFolder)
    }
    if (disk === Disk.Torn) this.#tearLog(host)
    host.isHeldDown = false
    return await this.#spawn(host)
  }

  /** Lets a host read its settings again. */
  reload (host: SoakHost): void {
    this.#record.reloads.push({ host: host.name, at: performance.now() })
    host.process?.kill('SIGHUP')
  }

  /** Stops the clock of a host's process, or lets it go on. */
  freeze (host: SoakHost): void {
    this.#disturb(host, 'SIGSTOP')
    host.isFrozen = true
    host.process?.kill('SIGSTOP')
  }

  /** @returns the time, at which the frozen process of a host goes on */
  thaw (host: SoakHost): number {
    host.process?.kill('SIGCONT')
    host.isFrozen = false
    const now = performance.now()
    this.#calm(host, now)
    return now
  }

  /** Kills all processes, and removes all files unless they are to be kept. */
  async stop (isKept: boolean): Promise<void> {
    this.#isStopping = true
    process.off('exit', this.#killAll)
    await Promise.all(this.hosts.map((host) => this.end(host, 'SIGKILL')))
    if (!isKept) rmSync(this.folder, { recursive: true, force: true })
  }

  /** @returns when the host was back, undefined when its process ended before */
  async #spawn (host: SoakHost): Promise<number | undefined> {
    const startedAt = performance.now()
    writeFileSync(host.settingsFile, renderTemplate(this.#template, this.#describe(host)))
    const log = openSync(host.logFile, 'a')
    const words = [...listRuntimeOptions(host.role), `target/${host.role}.mjs`]
    const child = spawn(process.execPath, words, { env: { HIBISCUSRELAY_NODE_FILE: host.settingsFile }, stdio: ['ignore', log, log] })
    closeSync(log)
    host.process = child
    host.runs += 1
    host.isFirstStart = false
    child.once('exit', (code, signal) => {
      if (this.#isStopping || host.isHeldDown || host.process !== child) return
      this.#record.ends.push({ host: host.name, at: performance.now(), code, signal })
      this.#disturb(host, 'own-end')
      setTimeout(() => {
        if (this.#isStopping || host.isHeldDown || host.process !== child) return
        this.#spawn(host).catch(() => {})
      }, OWN_RESTART_MILLISECONDS)
    })
    return await this.#waitUntilBack(host, child, startedAt)
  }

  /** On a busy machine a start takes seconds; a host is not back before it answers. */
  async #waitUntilBack (host: SoakHost, child: ChildProcess, startedAt: number): Promise<number | undefined> {
    const address = host.role === 'control' ? `${host.ip}:${PORTS.control}` : `${host.ip}:${PORTS.front}`
    while ((await sendOrder({ address, controlHost: 0, method: 'GET', path: '/config/fetch', body: '', milliseconds: ANSWER_MILLISECONDS })).status === undefined) {
      if (host.process !== child || host.isHeldDown || this.#isStopping) return undefined
      await sleep(POLL_MILLISECONDS)
    }
    if (host.process !== child || host.isHeldDown || host.isFrozen) return undefined
    const backAt = Math.max(startedAt, performance.now() - USUAL_START_MILLISECONDS)
    this.#calm(host, backAt)
    return backAt
  }

  #describe (host: SoakHost): Record<string, unknown> {
    const addressOf = (port: number): string => `${host.ip}:${port}`
    const isControl = host.role === 'control'
    return {
      node_name: host.name,
      zone: host.domain,
      region: ZONES[host.domain],
      ip: host.ip,
      data_dir: isControl ? host.dataFolder : '',
      internal_port_range: [PORTS.internal, PORTS.internal + 15],
      listen_addrs: isControl ? { control: addressOf(PORTS.control), directory: addressOf(PORTS.directory) } : { front: addressOf(PORTS.front), ready: addressOf(PORTS.ready) },
      seeds: this.controlHosts.slice(0, SEEDS).map(({ ip }) => `${ip}:${PORTS.control}`),
      bootstrap: host.isFirstStart,
      fault_tolerance: { machines: TOLERATED_LOSSES, zones: 1, regions: 1 },
      heartbeat_s: 1.5,
      bounds: BOUNDS,
      zones: ZONES
    }
  }

  #tearLog (host: SoakHost): void {
    const file = join(host.dataFolder, ReplicaFile.Log)
    if (!existsSync(file)) return
    const frame = encodeFrame(Buffer.from(JSON.stringify({ entries: [] })))
    appendFileSync(file, frame.subarray(0, 1 + host.runs * 7 % (frame.length - 1)))
  }

  #disturb (host: SoakHost, kind: string): void {
    if (host.disturbance !== undefined) return
    host.disturbance = { host: host.name, kind, from: performance.now(), to: Number.POSITIVE_INFINITY }
    this.#record.disturbances.push(host.disturbance)
  }

  #calm (host: SoakHost, at: number): void {
    if (host.disturbance === undefined) return
    host.disturbance.to = at
    host.disturbance = undefined
  }
}
