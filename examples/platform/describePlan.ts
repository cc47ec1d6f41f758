const COLUMNS = ['name', 'host', 'path_prefix', 'route_type', 'timeout_s', 'target_latency_s', 'priority', 'service', 'max_attempts', 'sticky', 'home_regions', 'traffic_split']

/**
 * @param version - eight hexadecimal digits
 * @param base - the version that it builds on
 * @param prefix - path prefix of its one route
 * @returns an operator's configuration as it is sent
 */
export function describePlan (version: string, base: string, prefix = '/lookups/'): string {
  return JSON.stringify({
    version,
    base_version: base,
    routes: { columns: COLUMNS, rows: [['lookups', 'stock.example', prefix, 'idempotent', 2, 0.6, 1, 'inventario', 2, true, [], null]] },
    services: { columns: ['name', 'health_path', 'max_connections', 'protocol', 'tls', 'cold_start_s', 'cold_per_s'], rows: [['inventario', '/health', 660, 'h1', false, 3, 8]] },
    limits: { max_header_bytes: 16_384, max_body_bytes: 1_048_576, header_timeout_s: 3, idle_timeout_s: 15 }
  })
}
