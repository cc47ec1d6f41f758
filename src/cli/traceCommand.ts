import { readFileSync } from 'node:fs'
import { defineCommand } from 'citty'
import { exitWithError } from './exitWithError.js'
import { collectTrace } from './trace/collectTrace.js'
import { describeRequestLine } from './trace/describeRequestLine.js'
import { parseLogLine, type LogLine } from './trace/LogLine.js'

/** `hibiscusrelay trace`: describes what happened to one request, from the logs of several hosts. */
export const traceCommand = defineCommand({
  meta: { name: 'trace', description: 'Describe what happened to a request of the platform form, from the logs of the hosts' },
  args: {
    request: { type: 'positional', description: 'Identifier of the request, as in the logs', required: true },
    log: { type: 'positional', description: 'Log file; more may follow', required: true }
  },
  run: ({ args }) => {
    const files = args._.slice(1)
    const { requestLines, contextLines } = collectTrace(files.flatMap(readLines), args.request)
    if (requestLines.length === 0) exitWithError(`no line of ${files.join(', ')} mentions request ${args.request}; its lines may be among those counted by lines-dropped, or in the log of another host`)
    for (const line of requestLines) console.log(`${formatTime(line)} ${describeRequestLine(line).join(' ')}`)
    if (contextLines.length > 0) console.log('Events shortly before:')
    for (const line of contextLines) console.log(`${formatTime(line)} ${line.host} ${line.event} ${describeFields(line)}`)
  }
})

function readLines (file: string): LogLine[] {
  return readFileSync(file, 'utf8').split('\n').map(parseLogLine).filter((line) => line !== undefined)
}

function formatTime ({ time }: LogLine): string {
  return new Date(time).toISOString()
}

function describeFields ({ fields }: LogLine): string {
  return [...fields].filter(([key]) => !['time', 'level', 'host', 'event', 'step'].includes(key)).map(([key, value]) => `${key}=${value}`).join(' ')
}
