const ROUTE_COLUMNS = ['name', 'host', 'path_prefix', 'route_type', 'timeout_s', 'target_latency_s', 'priority', 'service', 'max_attempts', 'sticky', 'home_regions', 'traffic_split']
const SERVICE_COLUMNS = ['name', 'health_path', 'max_connections', 'protocol', 'tls', 'cold_start_s', 'cold_per_s']

/** Part of a route's requests. */
export interface SoakTarget {
  service: string
  weight: number
}

/** Route of a {@link SoakPlan}. */
export interface SoakRoute {
  prefix: string
  targets: SoakTarget[]
  timeoutSeconds: number
  maximumAttempts: number
  /** Whether its requests may run once at most. */
  isOnce?: boolean
}

/** Routing plan as an operator of the soak writes it. */
export interface SoakPlan {
  version: number
  base: number
  routes: SoakRoute[]
  services: string[]
}

/** Handling of a request that no route matches. */
export const NO_ROUTE = 'no-route'

/** @returns the plan as the operator submits it */
export function encodePlan (plan: SoakPlan): string {
  const rows = plan.routes.map(({ prefix, targets, timeoutSeconds, maximumAttempts, isOnce }) => {
    const [only] = targets
    const isSplit = targets.length > 1
    return [`r${prefix.replaceAll('/', '-')}`, 'stock.example', prefix, isOnce ? 'non_idempotent' : 'idempotent', timeoutSeconds, 0.6, 1, isSplit ? null : only?.service, maximumAttempts, false, [], isSplit ? targets : null]
  })
  return JSON.stringify({
    version: formatVersion(plan.version),
    base_version: formatVersion(plan.base),
    routes: { columns: ROUTE_COLUMNS, rows },
    services: { columns: SERVICE_COLUMNS, rows: plan.services.map((name) => [name, '/health', 660, 'h1', false, 0, 0]) },
    limits: { max_header_bytes: 16_384, max_body_bytes: 1_048_576, header_timeout_s: 3, idle_timeout_s: 15 }
  })
}

/**
 * @param plan - plan in force, undefined before the first one
 * @param path - path of a request
 * @returns the services that may run the request, or {@link NO_ROUTE}
 */
export function listHandlings (plan: SoakPlan | undefined, path: string): string[] {
  const matching = (plan?.routes ?? []).filter(({ prefix }) => path.startsWith(prefix)).sort((left, right) => right.prefix.length - left.prefix.length)
  return matching[0]?.targets.filter(({ weight }) => weight > 0).map(({ service }) => service) ?? [NO_ROUTE]
}

function formatVersion (version: number): string {
  return version.toString(16).padStart(8, '0')
}
