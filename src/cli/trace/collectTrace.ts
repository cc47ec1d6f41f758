import type { LogLine } from './LogLine.js'

/** Lines this long before the request's own line may say why it ended as it did. */
const CONTEXT_MILLISECONDS = 3_000
/** Events that change what a host believes of upstreams, plans and control hosts. */
const BELIEF_EVENTS = new Set(['upstream-died', 'upstream-silent', 'upstream-changed', 'plan-in-force', 'control-host-left', 'control-host-followed', 'evacuation-ordered', 'lines-dropped', 'settings-reloaded', 'stopping'])

/** The lines of one request, and what its host learned shortly before. */
export interface RequestTrace {
  own: LogLine[]
  context: LogLine[]
}

/**
 * Collects what the logs of several hosts hold of one request.
 *
 * @param lines - lines of all logs, in any order
 * @param request - identifier of the request
 */
export function collectTrace (lines: readonly LogLine[], request: string): RequestTrace {
  const own = lines.filter(({ fields }) => fields.get('request') === request).sort(byTime)
  const context = lines.filter((line) => own.some((each) => concerns(line, each))).sort(byTime)
  return { own, context }
}

function concerns (line: LogLine, own: LogLine): boolean {
  if (!BELIEF_EVENTS.has(line.event) || line.time > own.time || own.time - line.time > CONTEXT_MILLISECONDS) return false
  const tried = (own.fields.get('tried') ?? '').split(',').filter((name) => name !== '')
  const upstream = line.fields.get('upstream') ?? line.fields.get('peer') ?? ''
  return line.host === own.host || tried.includes(upstream)
}

function byTime (left: LogLine, right: LogLine): number {
  return left.time - right.time
}
