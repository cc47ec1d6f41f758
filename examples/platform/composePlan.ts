const ROUTE_COLUMNS = ['name', 'host', 'path_prefix', 'route_type', 'timeout_s', 'target_latency_s', 'priority', 'service', 'max_attempts', 'sticky', 'home_regions', 'traffic_split']

/**
 * Composes a plan with one route to one service.
 *
 * @param version - eight hexadecimal digits
 * @param baseVersion - version of the plan on which this one is based
 * @param pathPrefix - path prefix of the route
 * @returns the plan as JSON, as an operator submits it
 */
export function composePlan (version: string, baseVersion: string, pathPrefix = '/lookups/'): string {
  return JSON.stringify({
    version,
    base_version: baseVersion,
    routes: { columns: ROUTE_COLUMNS, rows: [['lookups', 'stock.example', pathPrefix, 'idempotent', 2, 0.6, 1, 'inventario', 2, true, [], null]] },
    services: { columns: ['name', 'health_path', 'max_connections', 'protocol', 'tls', 'cold_start_s', 'cold_per_s'], rows: [['inventario', '/health', 660, 'h1', false, 3, 8]] },
    limits: { max_header_bytes: 16_384, max_body_bytes: 1_048_576, header_timeout_s: 3, idle_timeout_s: 15 }
  })
}
