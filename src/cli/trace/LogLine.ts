/** Parsed line of a host's log. */
export interface LogLine {
  /** Time by the host's clock, in Unix milliseconds. */
  time: number
  host: string
  event: string
  /** All fields by key, with `time`, `host` and `event`. */
  fields: ReadonlyMap<string, string>
}

/** A field `key=value`; a value in double quotes may contain spaces and escaped characters. */
const FIELD_PATTERN = /(\w[\w-]*)=("(?:[^"\\]|\\.)*"|\S*)/g

/**
 * Parses a line of a host's log.
 *
 * @param text - a line, with or without a prefix that the log collector added
 * @returns the parsed line, undefined when the text has no valid time, host and event
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
