import { setTimeout as sleep } from 'node:timers/promises'
import { post } from './httpCall.mjs'

const ROUTE_COLUMNS = ['name', 'host', 'path_prefix', 'route_type', 'timeout_s', 'target_latency_s', 'priority', 'service', 'max_attempts', 'sticky', 'home_regions', 'traffic_split']
const SERVICE_COLUMNS = ['name', 'health_path', 'max_connections', 'protocol', 'tls', 'cold_start_s', 'cold_per_s']

/** Composes a configuration; routes and services are objects with the names of the pages. */
export function composeConfiguration ({ version, base, routes, services }) {
  const toHex = (number) => number.toString(16).padStart(8, '0')
  const routeDefaults = { target_latency_s: 0.6, priority: 1, service: null, max_attempts: 2, sticky: false, home_regions: [], traffic_split: null }
  const serviceDefaults = { health_path: '/health', max_connections: 660, protocol: 'h1', tls: false, cold_start_s: 0, cold_per_s: 4.9 }
  return {
    version: toHex(version),
    routes: { columns: ROUTE_COLUMNS, rows: routes.map((route) => ROUTE_COLUMNS.map((column) => ({ ...routeDefaults, ...route })[column])) },
    services: { columns: SERVICE_COLUMNS, rows: services.map((service) => SERVICE_COLUMNS.map((column) => ({ ...serviceDefaults, ...service })[column])) },
    limits: { max_header_bytes: 16384, max_body_bytes: 67108864, header_timeout_s: 3, idle_timeout_s: 15 },
    base_version: toHex(base)
  }
}

/** Sends an order to one control host after another until one acknowledges it. */
export async function order (record, addresses, path, document, milliseconds = 20_000) {
  const until = performance.now() + milliseconds
  for (let attempt = 0; performance.now() < until; attempt += 1) {
    const address = addresses[attempt % addresses.length]
    const { status, cause } = await post(address, path, document)
    record.write('order-answered', { address, path, version: document?.version, status, cause })
    if (status === 200) return true
    if ([400, 409, 412, 413, 422].includes(status)) return false
    await sleep(200)
  }
  return false
}

/** Waits until a condition holds. */
export async function waitUntil (condition, milliseconds = 20_000) {
  const until = performance.now() + milliseconds
  while (performance.now() < until) {
    if (await condition()) return true
    await sleep(50)
  }
  return false
}
