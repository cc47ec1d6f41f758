import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { AnnouncementClient } from './AnnouncementClient.js'
import { parseReceivedRequest, type ReceivedRequest } from './ReceivedRequest.js'
import { createServiceTimes } from './createServiceTimes.js'
import { digestBody, type EchoBody } from './EchoBody.js'
import { LoadReport } from './LoadReport.js'
import { InjectedFault } from './InjectedFault.js'
import { RunEvent } from './RunEvent.js'
import { RunLog } from './RunLog.js'
import type { StandInSettings } from './StandInSettings.js'
import { writeAnswer } from './writeAnswer.js'

const AFTER_DEADLINE_MILLISECONDS = 200
const ASSUMED_DEADLINE_MILLISECONDS = 1000

/** An upstream for tests. It sheds requests above its slots and logs every run. */
export class StandInUpstream {
  readonly #settings: StandInSettings
  readonly #runLog: RunLog
  readonly #pickServiceTime: (ageMilliseconds: number) => number
  readonly #server: Server
  readonly #onCrash: () => void
  readonly #onLeaveRequested: () => void
  readonly #startedAt = performance.now()
  #announcements: AnnouncementClient | undefined
  #announcementsEnded: Promise<void> = Promise.resolve()
  #runningRequests = 0
  #openConnections = 0

  /**
   * @param settings - settings of the upstream
   * @param onCrash - called instead of sending an answer to a request that injects {@link InjectedFault.Crash}
   * @param onLeaveRequested - called when an operator has ordered this upstream to leave
   */
  constructor (settings: StandInSettings, onCrash: () => void, onLeaveRequested: () => void = () => {}) {
    this.#settings = settings
    this.#onCrash = onCrash
    this.#onLeaveRequested = onLeaveRequested
    this.#runLog = new RunLog(settings.runLog)
    this.#pickServiceTime = createServiceTimes(settings)
    this.#server = createServer((request, response) => { this.#handleRequest(request, response).catch(() => { response.destroy() }) })
    this.#server.on('connection', (socket) => { this.#countConnection(socket) })
  }

  /** @returns the number of requests that run now */
  get runningRequests (): number {
    return this.#runningRequests
  }

  /**
   * Starts listening, and sending announcements if the settings name hosts.
   *
   * @returns the `ip:port` that the upstream listens on
   */
  async start (): Promise<string> {
    const [ip, port] = this.#settings.address.split(':')
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(Number(port), ip, resolve)
    })
    const address = `${ip}:${(this.#server.address() as AddressInfo).port}`
    this.#recordEvent(RunEvent.Listening)
    if (this.#settings.hosts.length > 0) this.#announce(address)
    return address
  }

  /** Announces that the upstream leaves, and stops once the owner has confirmed that it is drained. */
  async leave (): Promise<void> {
    this.#recordEvent(RunEvent.Leaving)
    this.#announcements?.leave()
    await this.#announcementsEnded
    this.#recordEvent(RunEvent.Drained)
    await this.stop()
  }

  /** Closes all connections and stops the announcements at once. */
  async stop (): Promise<void> {
    this.#announcements?.stop()
    const closed = new Promise<void>((resolve) => { this.#server.close(() => { resolve() }) })
    this.#server.closeAllConnections()
    await Promise.all([closed, this.#announcementsEnded])
  }

  #announce (address: string): void {
    const { service, slots, connections, hosts, echoesRequest } = this.#settings
    const countRunning = (): number => this.#runningRequests
    this.#announcements = new AnnouncementClient({ service, address, slots, connections, echoesRequest, countRunning, readLoad: () => this.#readReportedLoad(), onLeaveRequested: this.#onLeaveRequested }, hosts)
    this.#announcementsEnded = this.#announcements.run()
  }

  #readReportedLoad (): number | undefined {
    switch (this.#settings.loadReport) {
      case LoadReport.Actual: return this.#runningRequests / this.#settings.slots
      case LoadReport.AlwaysIdle: return 0
      case LoadReport.AlwaysFull: return 1
      case LoadReport.None: return undefined
    }
  }

  #countConnection (socket: import('node:net').Socket): void {
    this.#openConnections += 1
    if (this.#openConnections > this.#settings.connections) this.#recordEvent(RunEvent.ConnectionsExceeded)
    socket.on('close', () => { this.#openConnections -= 1 })
  }

  async #handleRequest (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const received = parseReceivedRequest(message)
    if (this.#runningRequests >= this.#settings.slots) return this.#shed(response, received, RunEvent.SlotsExceeded)
    if (received.fault === InjectedFault.Shed || received.deadlineMilliseconds <= 0) return this.#shed(response, received, RunEvent.Shed)
    this.#runningRequests += 1
    try {
      await this.#runRequest(message, response, received)
    } finally {
      this.#runningRequests -= 1
    }
  }

  async #runRequest (message: IncomingMessage, response: ServerResponse, received: ReceivedRequest): Promise<void> {
    const cancellation = new AbortController()
    response.on('close', () => { cancellation.abort() })
    const body = await readBody(message)
    this.#recordEvent(RunEvent.Start, received)
    if (received.fault === InjectedFault.Crash) {
      this.#recordEvent(RunEvent.Crash, received)
      return this.#onCrash()
    }
    try {
      await sleep(this.#computeWorkMilliseconds(received), undefined, { signal: cancellation.signal })
    } catch {
      return this.#recordEvent(RunEvent.Cancelled, received)
    }
    this.#recordEvent(RunEvent.End, received)
    writeAnswer(response, this.#composeBody(received, body), received.fault, this.#settings.echoesRequest ? received.requestIdentifier : undefined)
  }

  #computeWorkMilliseconds (received: ReceivedRequest): number {
    const picked = received.workMilliseconds ?? this.#pickServiceTime(performance.now() - this.#startedAt)
    if (received.fault !== InjectedFault.AfterDeadline) return picked
    const deadline = Number.isFinite(received.deadlineMilliseconds) ? received.deadlineMilliseconds : ASSUMED_DEADLINE_MILLISECONDS
    return deadline + AFTER_DEADLINE_MILLISECONDS
  }

  #composeBody (received: ReceivedRequest, body: Buffer): string {
    const { name, service } = this.#settings
    const echo: EchoBody = { token: received.token, digest: digestBody(body), upstream: name, service, padding: 'x'.repeat(received.paddingBytes) }
    return JSON.stringify(echo)
  }

  #shed (response: ServerResponse, received: ReceivedRequest, event: RunEvent): void {
    this.#recordEvent(event, received)
    response.writeHead(503, { 'Hibiscusrelay-Shed': 'not-run', 'Hibiscusrelay-Outcome': 'not-run', 'Hibiscusrelay-Reason': 'shed', 'Content-Length': 0 })
    response.end()
  }

  #recordEvent (event: RunEvent, received?: ReceivedRequest): void {
    const { name, service } = this.#settings
    this.#runLog.write({ event, upstream: name, service, token: received?.token, sending: received?.sending, key: received?.key, request: received?.requestIdentifier, running: this.#runningRequests })
  }
}

async function readBody (message: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of message) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}
