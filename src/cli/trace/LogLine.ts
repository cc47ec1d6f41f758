/** One line of a host's log. */
export interface LogLine {
  /** Unix milliseconds by the host's clock. */
  time: number
  host: string
  event: string
  fields: ReadonlyMap<string, string>
}

const FIELD_PATTERN = /(\w[\w-]*)=("(?:[^"\\]|\\.)*"|\S*)/g

/**
 * @param text - a line, with or without a prefix of the collector
 * @returns the line, undefined when it is none of a host's log
 */
export function parseLogLine (text: string): LogLine | undefined {
  const start = text.indexOf('time=')
  if (start < 0) return undefined
  const fields = new Map([...text.slice(start).matchAll(FIELD_PATTERN)].map(([, key, value]) => [key!, unquote(value!)]))
  const time = Date.parse(fields.get('time') ?? '')
  const host = fields.get('host')
  const event = fields.get('event')
  if (Number.isNaN(time) || host === undefined || event === undefined) return undefined
  return { time, host, event, fields }
}

function unquote (value: string): string {
  return value.startsWith('"') ? value.slice(1, -1).replace(/\\(.)/g, '$1') : value
}
