// Starts the programs of the deploy file on loopback addresses, and plays the platform, the operator, servers and clients.
import { spawn } from 'node:child_process'
import { closeSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import net from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { setTimeout as sleep } from 'node:timers/promises'

export { sleep }

/** Thrown when a case could not be played, so that it says nothing about the rule. */
export class CannotRun extends Error {}
const repository = fileURLToPath(new URL('../..', import.meta.url))

/** @returns the first three parts of a loopback subnet and ports that are free on it */
export async function pickNetwork () {
  for (;;) {
    const subnet = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`
    const port = 21000 + Math.floor(Math.random() * 9000)
    const isFree = await new Promise((resolve) => {
      const server = net.createServer().once('error', () => resolve(false)).listen(port, `${subnet}.1`, () => server.close(() => resolve(true)))
    })
    if (isFree) return { subnet, port }
  }
}

export function readDeploy () {
  const text = readFileSync(join(repository, 'deploy/system.toml'), 'utf8')
  const run = (role) => new RegExp(`\\[roles\\.${role}\\][^[]*?^run = "([^"]+)"`, 'ms').exec(text)[1].split(' ')
  return { entry: run('entry'), control: run('control'), template: readFileSync(join(repository, 'deploy/settings.ini'), 'utf8') }
}

/** Fills in a settings template as DEPLOY.md says; sections over tables only. */
export function fill (template, fields) {
  const lookUp = (path) => path.split('.').reduce((value, key) => value?.[key], fields)
  const show = (value) => value === undefined ? '' : Array.isArray(value) ? value.join(',') : String(value)
  return template
    .replace(/\{\{#(\w+)\}\}\n([\s\S]*?)\{\{\/\1\}\}\n?/g, (_, name, body) => Object.entries(lookUp(name) ?? {}).map(([key, value]) => body.replaceAll('{{@}}', key).replaceAll('{{.}}', value)).join(''))
    .replace(/\{\{([\w.]+)\}\}/g, (_, path) => show(lookUp(path)))
}

export class System {
  constructor (options = {}) {
    this.options = { zones: { 'zone-a': 'region-a', 'zone-b': 'region-b', 'zone-c': 'region-c' }, entries: ['zone-a'], bounds: {}, tolerated: 1, ...options }
    this.folder = mkdtempSync(join(tmpdir(), 'case-'))
    this.processes = []
    this.deploy = readDeploy()
  }

  async start () {
    const { subnet, port } = await pickNetwork()
    Object.assign(this, { subnet, port })
    const cores = this.options.cores ?? Object.keys(this.options.zones)
    this.controls = cores.map((zone, index) => ({ name: `core-${zone}`, zone, ip: `${subnet}.${10 + index}`, role: 'control' }))
    this.entries = this.options.entries.map((zone, index) => ({ name: `edge-${index}`, zone, ip: `${subnet}.${40 + index}`, role: 'entry' }))
    for (const machine of [...this.controls, ...this.entries]) this.startMachine(machine, true)
  }

  seeds () { return this.controls.slice(0, 3).map(({ ip }) => `${ip}:${this.port + 46}`) }

  startMachine (machine, bootstrap) {
    const { port } = this
    const dataFolder = join(this.folder, `${machine.name}-data`)
    if (machine.role === 'control') mkdirSync(dataFolder, { recursive: true })
    const fields = {
      node_name: machine.name,
      zone: machine.zone,
      region: this.options.zones[machine.zone],
      ip: machine.ip,
      data_dir: machine.role === 'control' ? dataFolder : undefined,
      internal_port_range: [port, port + 15],
      seeds: this.options.seeds?.(this) ?? this.seeds(),
      bootstrap,
      listen_addrs: machine.role === 'control' ? { control: `${machine.ip}:${port + 46}`, directory: `${machine.ip}:${port + 43}` } : { front: `${machine.ip}:${port + 44}`, ready: `${machine.ip}:${port + 40}` },
      fault_tolerance: { machines: this.options.tolerated },
      heartbeat_s: 1.5,
      zones: this.options.zones,
      bounds: { grace_s: 6, retry_budget_ratio: 0.2, retry_allowance: 112, budget_window_s: 10, ...this.options.bounds }
    }
    const settings = join(this.folder, `${machine.name}.ini`)
    writeFileSync(settings, fill(this.deploy.template, fields))
    const [program, ...parameters] = this.deploy[machine.role]
    const log = openSync(join(this.folder, `${machine.name}.log`), 'a')
    const child = spawn(program, parameters, { cwd: repository, env: { PATH: process.env.PATH, HOME: process.env.HOME, HIBISCUSRELAY_NODE_FILE: settings }, stdio: ['ignore', log, log] })
    closeSync(log)
    machine.child = child
    machine.exited = new Promise((resolve) => child.once('exit', (code, signal) => { machine.exit = { code, signal }; resolve() }))
    this.processes.push(machine)
    return machine
  }

  log (machine) { return readFileSync(join(this.folder, `${machine.name}.log`), 'utf8') }

  controlAddresses () { return this.controls.map(({ ip }) => `${ip}:${this.port + 46}`) }
  front (index = 0) { return { host: this.entries[index].ip, port: this.port + 44 } }

  async order (method, path, body, { patience = 20000, at } = {}) {
    const end = Date.now() + patience
    for (let attempt = 0; ; attempt += 1) {
      const address = at ?? this.controlAddresses()[attempt % this.controls.length]
      const answer = await call(address, method, path, body, 1000).catch((error) => ({ status: 0, error }))
      if (answer.status >= 200 && answer.status < 300) return answer
      if ([400, 409, 412, 413, 422].includes(answer.status)) return answer
      if (Date.now() > end) return answer
      await sleep(100)
    }
  }

  async waitReady () {
    const end = Date.now() + 20000
    for (const entry of this.entries) {
      while ((await call(`${entry.ip}:${this.port + 40}`, 'GET', '/readiness', undefined, 500).catch(() => ({}))).status !== 200) {
        if (Date.now() > end) throw new CannotRun('an entry host is not ready')
        await sleep(50)
      }
    }
  }

  async stop () {
    for (const { child } of this.processes) {
      if (child.exitCode !== null || child.signalCode !== null) continue
      child.kill('SIGCONT')
      child.kill('SIGKILL')
    }
    await Promise.all(this.processes.map(({ exited }) => exited))
    if (process.env.KEEP) console.log('logs in', this.folder)
    else rmSync(this.folder, { recursive: true, force: true })
  }
}

export function call (address, method, path, body, timeout = 1000) {
  const [host, port] = address.split(':')
  return new Promise((resolve, reject) => {
    const request = http.request({ host, port, method, path, agent: false, headers: body === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) } }, (response) => {
      const parts = []
      response.on('data', (part) => parts.push(part)).on('end', () => { clearTimeout(timer); resolve({ status: response.statusCode, headers: response.headers, body: Buffer.concat(parts).toString() }) }).on('error', reject)
    })
    const timer = setTimeout(() => request.destroy(new Error('no answer in time')), timeout)
    request.on('error', (error) => { clearTimeout(timer); reject(error) }).end(body)
  })
}

export function composeConfig ({ version = 1, base = 0, routes, services = ['svc'], limits = {} }) {
  const hex = (number) => number.toString(16).padStart(8, '0')
  const columns = ['name', 'host', 'path_prefix', 'route_type', 'timeout_s', 'target_latency_s', 'priority', 'service', 'max_attempts', 'sticky', 'home_regions', 'traffic_split']
  return JSON.stringify({
    version: hex(version),
    routes: { columns, rows: routes.map((r) => [r.name, r.host ?? 'h.example', r.prefix, r.type, r.timeout ?? 5, r.aim ?? 1, r.priority ?? 1, r.service ?? 'svc', r.attempts ?? 2, r.sticky ?? false, [], null]) },
    services: { columns: ['name', 'health_path', 'max_connections', 'protocol', 'tls', 'cold_start_s', 'cold_per_s'], rows: services.map((name) => [name, '/health', 660, 'h1', false, 3, 8.2]) },
    limits: { max_header_bytes: 16384, max_body_bytes: 67108864, header_timeout_s: 3, idle_timeout_s: 15, ...limits },
    base_version: hex(base)
  })
}

/** Announces a server every 1.5 s, as PROTOCOL.md says, until it is stopped. Behind a cut each call ends after a second without an answer. */
export class Announcer {
  #sequence = 0
  #next = 0
  #isStopped = false

  constructor (system, fields, isCut = () => false) {
    this.system = system
    this.fields = { service: 'svc', version: 'v1', slots: 9, state: 'ready', cold_remaining_s: 0, born: Date.now(), ...fields }
    this.isCut = isCut
  }

  async beat () {
    const { id, ...fields } = this.fields
    const addresses = this.system.controlAddresses()
    while (!this.#isStopped) {
      this.#sequence += 1
      const body = JSON.stringify({ ...fields, sequence: this.#sequence })
      const address = addresses[this.#next % addresses.length]
      const answer = this.isCut() ? await sleep(1000, { status: 0 }) : await call(address, 'POST', `/instances/${id}/heartbeat`, body).catch(() => ({ status: 0 }))
      if (answer.status >= 200 && answer.status < 300) return
      this.#next += 1
    }
  }

  async run () {
    while (!this.#isStopped) {
      const pause = sleep(1500)
      await this.beat()
      await pause
    }
  }

  stop () { this.#isStopped = true }
}

/** Sends one raw request and collects all bytes until the connection ends or the time is over. */
export function rawClient ({ host, port }, text, timeout = 8000, { keep = false } = {}) {
  return new Promise((resolve) => {
    const parts = []
    const started = performance.now()
    const socket = net.connect({ host, port }, () => socket.write(text))
    const finish = (end) => { clearTimeout(timer); socket.destroy(); resolve({ bytes: Buffer.concat(parts), end, took: performance.now() - started }) }
    const timer = setTimeout(() => finish('timeout'), timeout)
    socket.on('data', (part) => { parts.push(part); if (!keep && isWhole(Buffer.concat(parts))) finish('whole') }).on('end', () => finish('end')).on('error', (error) => finish(error.code))
  })
}

export function parseAnswer (bytes) {
  const end = bytes.indexOf('\r\n\r\n')
  if (end < 0) return undefined
  const [line, ...lines] = bytes.subarray(0, end).toString('latin1').split('\r\n')
  const headers = Object.fromEntries(lines.map((text) => { const at = text.indexOf(':'); return [text.slice(0, at).toLowerCase(), text.slice(at + 1).trim()] }))
  return { status: Number(line.split(' ')[1]), headers, body: bytes.subarray(end + 4) }
}

function isWhole (bytes) {
  const answer = parseAnswer(bytes)
  if (answer === undefined) return false
  const length = answer.headers['content-length']
  if (length !== undefined) return answer.body.length >= Number(length)
  if (/chunked/.test(answer.headers['transfer-encoding'] ?? '')) return answer.body.includes('0\r\n\r\n')
  return false
}
