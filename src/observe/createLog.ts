import winston from 'winston'
import type { Log, LogFields } from './Log.js'

/**
 * Creates a log that writes one line of key=value pairs per event.
 *
 * @param host - name of the host, written on every line
 * @param stream - destination of the lines, by default standard error
 */
export function createLog (host: string, stream: NodeJS.WritableStream = process.stderr): Log {
  const logger = winston.createLogger({
    level: 'info',
    format: winston.format.combine(
      winston.format.timestamp(),
      winston.format.printf((info) => formatLine(info, host))
    ),
    transports: [new winston.transports.Stream({ stream })]
  })
  return {
    info: (event, fields) => { logger.info(event, fields) },
    warn: (event, fields) => { logger.warn(event, fields) },
    error: (event, fields) => { logger.error(event, fields) }
  }
}

function formatLine (info: winston.Logform.TransformableInfo, host: string): string {
  const { timestamp, level, message, ...fields } = info
  const commonFields = `time=${String(timestamp)} level=${level} host=${host} event=${formatValue(message)}`
  const eventFields = Object.entries(fields as unknown as LogFields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => ` ${name}=${formatValue(value)}`)
  return commonFields + eventFields.join('')
}

function formatValue (value: unknown): string {
  const text = String(value)
  return /^[^\s="]+$/.test(text) ? text : JSON.stringify(text)
}
