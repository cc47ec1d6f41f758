import type { OperatorAnswer, OperatorRequest, OperatorRoute } from '../hibiscusrelay.js'
import { createReplicaRoutes } from './createReplicaRoutes.js'
import { createSheetRoutes } from './createSheetRoutes.js'
import type { Daemon } from './Daemon.js'

/** Creates the routes of the operator interface of a host, by method and path. */
export function createOperatorRoutes (daemon: Daemon): Map<string, OperatorRoute> {
  return new Map<string, OperatorRoute>([
    ['GET /v1/status', () => ({ status: 200, body: daemon.status() })],
    ...createSheetRoutes(daemon.sheets),
    ...createReplicaRoutes(daemon.sheets),
    ['GET /v1/explain', (request) => ({ status: 200, body: daemon.explain(request.query.get('service') ?? '', request.query.get('address') ?? '') })],
    ['POST /v1/drains/upstream', (request) => drainUpstream(daemon, request)],
    ['POST /v1/drains/host', () => drainHost(daemon)]
  ])
}

function drainUpstream (daemon: Daemon, request: OperatorRequest): OperatorAnswer {
  const address = request.query.get('address') ?? ''
  const upstream = daemon.relay.pools.list().map((pool) => pool.upstreams.get(address)).find((candidate) => candidate !== undefined)
  if (upstream === undefined) return { status: 404, body: { message: `this host owns no upstream at ${address}` } }
  upstream.isLeaveRequested = true
  return { status: 202, body: { address, running: upstream.running } }
}

function drainHost (daemon: Daemon): OperatorAnswer {
  setImmediate(() => { process.kill(process.pid, 'SIGTERM') })
  return { status: 202, body: { host: daemon.settings.host.name } }
}
