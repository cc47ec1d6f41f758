const ROUTE_COLUMNS = ['name', 'host', 'path_prefix', 'route_type', 'timeout_s', 'target_latency_s', 'priority', 'service', 'max_attempts', 'sticky', 'home_regions', 'traffic_split']

export const HOST = 'stock.example'

/** A configuration with an idempotent route `/look/` and a non-idempotent one `/book/` to one service. */
export function composeConfig (version, base, timeoutSeconds = 4) {
  return {
    version: version.toString(16).padStart(8, '0'),
    base_version: base.toString(16).padStart(8, '0'),
    routes: {
      columns: ROUTE_COLUMNS,
      rows: [
        ['look', HOST, '/look/', 'idempotent', timeoutSeconds, 0.6, 1, 'inventario', 2, true, [], null],
        ['book', HOST, '/book/', 'non_idempotent', timeoutSeconds, 0.6, 0, 'inventario', 2, true, [], null]
      ]
    },
    services: { columns: ['name', 'health_path', 'max_connections', 'protocol', 'tls', 'cold_start_s', 'cold_per_s'], rows: [['inventario', '/health', 660, 'h1', false, 3, 5]] },
    limits: { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_s: 3, idle_timeout_s: 15 }
  }
}
