import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const PEER_PORT = 27_660
const CONTROL_PORT = 27_146
const DIRECTORY_PORT = 27_143
const GUEST_PORT = 27_144
const READINESS_PORT = 27_140
const METRICS_PORT = 27_150
const CONTROL_HOST_COUNT = 3

/** Three control hosts and some entry hosts of the platform form, as separate processes on loopback addresses. */
export class PlatformSystem {
  readonly #folder = mkdtempSync(join(tmpdir(), 'hibiscusrelay-platform-'))
  readonly #processes: ChildProcess[] = []
  readonly #network: string
  readonly #entryHostCount: number
  readonly #domains: readonly string[]
  readonly #listRuntimeOptions: (role: string) => string[]

  /**
   * @param networkNumber - second number N of the addresses 127.N.0.1, 127.N.0.2 and so on
   * @param entryHostCount - number of entry hosts
   * @param domains - failure domains, in which the hosts of each role are placed in turn
   * @param listRuntimeOptions - returns the options of the runtime for the processes of a role; by default none
   */
  constructor (networkNumber: number, entryHostCount = 1, domains: readonly string[] = ['oviedo'], listRuntimeOptions: (role: string) => string[] = () => []) {
    this.#network = `127.${networkNumber}.0`
    this.#entryHostCount = entryHostCount
    this.#domains = domains
    this.#listRuntimeOptions = listRuntimeOptions
  }

  /** Guest address of the first entry host. */
  get guestAddress (): string {
    return this.getGuestAddress(0)
  }

  /**
   * @param number - number of an entry host, from 0
   * @returns its guest address, `ip:port`
   */
  getGuestAddress (number: number): string {
    return `${this.#network}.${CONTROL_HOST_COUNT + number + 1}:${GUEST_PORT}`
  }

  /**
   * @param number - number of a control host, from 0
   * @returns its control address, `ip:port`
   */
  getControlAddress (number: number): string {
    return `${this.#network}.${number + 1}:${CONTROL_PORT}`
  }

  /** Directory address of the first control host. */
  get directoryAddress (): string {
    return `${this.#network}.1:${DIRECTORY_PORT}`
  }

  /** Readiness address of the entry host. */
  get readinessAddress (): string {
    return `${this.#network}.${CONTROL_HOST_COUNT + 1}:${READINESS_PORT}`
  }

  /** Metrics address of the entry host, with its counters and latencies. */
  get metricsAddress (): string {
    return `${this.#network}.${CONTROL_HOST_COUNT + 1}:${METRICS_PORT}`
  }

  /** Starts all processes. */
  start (): void {
    for (let number = 0; number < CONTROL_HOST_COUNT; number += 1) this.startControlHost(number, true)
    for (let number = 0; number < this.#entryHostCount; number += 1) this.startEntryHost(number)
  }

  /**
   * Starts an entry host.
   *
   * @param number - number of the entry host, from 0
   */
  startEntryHost (number: number): ChildProcess {
    const ip = `${this.#network}.${CONTROL_HOST_COUNT + number + 1}`
    const listenSettings = `guest-address = ${this.getGuestAddress(number)}\nreadiness-address = ${ip}:${READINESS_PORT}\nmetrics-address = ${ip}:${METRICS_PORT}`
    return this.#spawn('entry', CONTROL_HOST_COUNT + number, listenSettings, '', false)
  }

  /**
   * Starts a control host on the content of its data folder.
   *
   * @param number - number of the control host, from 0
   * @param isFirstStart - whether the control hosts may form a new replica group
   */
  startControlHost (number: number, isFirstStart: boolean): ChildProcess {
    const ip = `${this.#network}.${number + 1}`
    const listenSettings = `control-address = ${ip}:${CONTROL_PORT}\ndirectory-address = ${ip}:${DIRECTORY_PORT}`
    return this.#spawn('control', number, listenSettings, `data-folder = ${join(this.#folder, `data-${number}`)}`, isFirstStart)
  }

  /**
   * @param number - number of the host; the entry hosts come after the control hosts
   * @returns its latest process
   */
  getProcess (number: number): ChildProcess {
    return this.#processes[number]!
  }

  /**
   * @param number - number of the host; the entry hosts come after the control hosts
   * @returns path of the file with its log
   */
  getLogFile (number: number): string {
    return join(this.#folder, `host-${number}.log`)
  }

  /** Kills all processes that are still running, and removes all files. */
  async stop (): Promise<void> {
    await Promise.all(this.#processes.map(async (child) => {
      if (child.exitCode !== null || child.signalCode !== null) return
      child.kill('SIGKILL')
      await once(child, 'exit')
    }))
    rmSync(this.#folder, { recursive: true })
  }

  #spawn (role: string, number: number, listenSettings: string, folderSetting: string, isFirstStart: boolean): ChildProcess {
    const ip = `${this.#network}.${number + 1}`
    const seeds = Array.from({ length: CONTROL_HOST_COUNT }, (_, seed) => this.getControlAddress(seed)).join(',')
    const file = join(this.#folder, `${role}-${number}.ini`)
    writeFileSync(file, `[host]\nname = ${role}-${number}\nfailure-domain = ${this.#domains[number % this.#domains.length]}\nregion = asturias\n${folderSetting}\n` +
      `[listen]\npeer-address = ${ip}:${PEER_PORT}\n${listenSettings}\n` +
      `[control]\nseed-addresses = ${seeds}\npeer-port = ${PEER_PORT}\nfirst-start = ${isFirstStart}\n` +
      `[limits]\nstop-seconds = 4\n[regions]\n${this.#domains.map((domain) => `${domain} = asturias\n`).join('')}`)
    const child = spawn(process.execPath, [...this.#listRuntimeOptions(role), `target/${role}.mjs`], { env: { HIBISCUSRELAY_NODE_FILE: file }, stdio: ['ignore', openSync(this.getLogFile(number), 'a'), 'inherit'] })
    this.#processes[number] = child
    return child
  }
}
