import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync, mkdirSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { createInterface } from 'node:readline'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { call } from './httpCall.mjs'

const REPOSITORY = fileURLToPath(new URL('../..', import.meta.url))
const PORTS = { peer: 7660, control: 8146, directory: 8147, front: 8144, ready: 8140, metrics: 9464 }

/** Bounds and contracts as the users' pages show them for a small deployment. */
const BOUNDS = { grace_s: 6, retry_budget_ratio: 0.2, budget_window_s: 10, retry_allowance: 112 }

/**
 * The project's own programs as separate processes on loopback addresses, started with the commands and the settings
 * template of the deploy file: a control host in each zone, and entry hosts.
 */
export class Deployment {
  #folder = mkdtempSync(join(tmpdir(), 'review-'))
  #record
  #machines = new Map()
  #zones

  /**
   * @param record - the record of the case
   * @param zones - region of each zone
   * @param entryZones - zone of each entry machine
   * @param coreZones - zone of each core machine
   */
  static async create (record, { zones, entryZones, coreZones, toleratedMachines = 1, bounds = {} }) {
    const deployment = new Deployment()
    deployment.#record = record
    deployment.#zones = zones
    deployment.bounds = { ...BOUNDS, ...bounds }
    const machines = [
      ...coreZones.map((zone, index) => ({ name: `core-${index + 1}`, role: 'control', zone })),
      ...entryZones.map((zone, index) => ({ name: `edge-${index + 1}`, role: 'entry', zone }))
    ]
    const network = await findFreeNetwork(machines.length + 40)
    deployment.network = network
    machines.forEach((machine, index) => { deployment.#addMachine(machine, `${network}.${index + 1}`) })
    deployment.toleratedMachines = toleratedMachines
    deployment.seeds = machines.filter(({ role }) => role === 'control').slice(0, 3).map(({ name }) => deployment.address(name, 'control'))
    return deployment
  }

  #addMachine (machine, ip) {
    const folder = join(this.#folder, machine.name)
    mkdirSync(join(folder, 'data'), { recursive: true })
    this.#machines.set(machine.name, { ...machine, ip, folder, child: undefined, bootstrap: true })
  }

  /** Adds a machine at an address that no other machine has had; its seeds are those of the operator's list at that time. */
  add (machine, seeds) {
    this.#addMachine({ ...machine, seeds }, `${this.network}.${this.#machines.size + 1}`)
    this.#machines.get(machine.name).bootstrap = false
  }

  address (name, purpose) {
    return `${this.#machines.get(name).ip}:${PORTS[purpose]}`
  }

  get controlAddresses () {
    return [...this.#machines.values()].filter(({ role }) => role === 'control').map(({ name }) => this.address(name, 'control'))
  }

  start (name) {
    const machine = this.#machines.get(name)
    const settingsFile = join(machine.folder, 'local')
    writeFileSync(settingsFile, render(readFileSync(join(REPOSITORY, 'deploy/settings.ini'), 'utf8'), this.#describe(machine)))
    machine.bootstrap = false
    const [program, ...words] = readCommand(machine.role)
    const child = spawn(program, words, {
      cwd: REPOSITORY,
      env: { PATH: process.env.PATH, HOME: process.env.HOME ?? '/', HIBISCUSRELAY_NODE_FILE: settingsFile },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    machine.child = child
    machine.ended = new Promise((resolve) => { child.once('exit', (code, signal) => { resolve(`${code ?? signal}`) }) })
    this.#record.write('process-started', { machine: name, pid: child.pid })
    createInterface({ input: child.stdout }).on('line', (line) => { machine.onLogLine?.(line) })
    child.stderr.on('data', (text) => { this.#record.write('process-error', { machine: name, text: String(text).slice(0, 400) }) })
    machine.ended.then((end) => { this.#record.write('process-ended', { machine: name, end }) })
  }

  /** Empties the disk of a machine whose process has ended. */
  loseDisk (name) {
    const { folder } = this.#machines.get(name)
    rmSync(join(folder, 'data'), { recursive: true, force: true })
    mkdirSync(join(folder, 'data'))
    this.#record.write('disk-lost', { machine: name })
  }

  /** Resolves when a process logs an event; to be called after its start. */
  logged (name, event) {
    const machine = this.#machines.get(name)
    return new Promise((resolve) => { machine.onLogLine = (line) => { if (line.includes(`event=${event} `)) resolve() } })
  }

  startAll () {
    for (const name of this.#machines.keys()) this.start(name)
  }

  signal (name, signal) {
    this.#record.write('signal', { machine: name, signal })
    this.#machines.get(name).child.kill(signal)
  }

  ended (name) {
    return this.#machines.get(name).ended
  }

  async isReady (name) {
    const answer = await call({ address: this.address(name, 'ready'), method: 'GET', path: '/readiness', timeoutMilliseconds: 1000 })
    return answer.status === 200
  }

  /** Ends all processes of the deployment that still run, and removes their files. */
  async stop () {
    for (const { child } of this.#machines.values()) {
      if (child === undefined || child.exitCode !== null || child.signalCode !== null) continue
      child.kill('SIGCONT')
      child.kill('SIGKILL')
    }
    await Promise.all([...this.#machines.values()].map(({ ended }) => ended))
    rmSync(this.#folder, { recursive: true, force: true })
  }

  #describe ({ name, role, ip, zone, folder, bootstrap, seeds = this.seeds }) {
    const isControl = role === 'control'
    const listenAddresses = isControl
      ? { control: `${ip}:${PORTS.control}`, directory: `${ip}:${PORTS.directory}` }
      : { front: `${ip}:${PORTS.front}`, ready: `${ip}:${PORTS.ready}` }
    return {
      node_name: name,
      role,
      zone,
      region: this.#zones[zone],
      ip,
      data_dir: isControl ? join(folder, 'data') : undefined,
      internal_port_range: [PORTS.peer, PORTS.peer + 15],
      listen_addrs: listenAddresses,
      seeds,
      bootstrap,
      fault_tolerance: { machines: this.toleratedMachines, zones: 1, regions: 1 },
      heartbeat_s: 1.5,
      bounds: this.bounds,
      zones: this.#zones
    }
  }
}

/** @returns the words of the command of a role in the deploy file */
function readCommand (role) {
  const text = readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8')
  const section = text.split(`[roles.${role}]`)[1]
  return /^run = "(.*)"$/m.exec(section)[1].split(' ')
}

/** Fills in a template as the platform does; only what the template uses is supported. */
function render (template, fields) {
  const find = (path) => path.split('.').reduce((value, key) => value?.[key], fields)
  const format = (value) => value === undefined ? '' : Array.isArray(value) ? value.join(',') : String(value)
  return template
    .replace(/\{\{#(\w+)\}\}\n([\s\S]*?)\{\{\/\1\}\}\n?/g, (_, name, body) => Object.entries(find(name) ?? {})
      .map(([key, value]) => body.replaceAll('{{@}}', key).replaceAll('{{.}}', value)).join(''))
    .replace(/\{\{([\w.]+)\}\}/g, (_, path) => format(find(path)))
}

/** Finds a loopback network whose addresses are free on all ports of the deployment. */
async function findFreeNetwork (machines) {
  for (;;) {
    const network = `127.${64 + Math.floor(Math.random() * 150)}.${1 + Math.floor(Math.random() * 250)}`
    const checks = []
    for (let host = 1; host <= Math.min(machines, 12); host += 1) {
      for (const port of Object.values(PORTS)) checks.push(isFree(`${network}.${host}`, port))
    }
    if ((await Promise.all(checks)).every(Boolean)) return network
    await sleep(50)
  }
}

function isFree (host, port) {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, host, () => { server.close(() => { resolve(true) }) })
  })
}
