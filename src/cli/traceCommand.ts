import { readFileSync } from 'node:fs'
import { defineCommand } from 'citty'
import { exitWithError } from './exitWithError.js'
import { collectTrace } from './trace/collectTrace.js'
import { describeRequestLine } from './trace/describeRequestLine.js'
import { parseLogLine, type LogLine } from './trace/LogLine.js'

/** `hibiscusrelay trace`: what became of one request, from the logs of several hosts. */
export const traceCommand = defineCommand({
  meta: { name: 'trace', description: 'Tell what became of a request of the platform form, from the hosts\' logs' },
  args: {
    request: { type: 'positional', description: 'Identifier of the send', required: true },
    log: { type: 'positional', description: 'Log file; more may follow', required: true }
  },
  run: ({ args }) => {
    const files = args._.slice(1)
    const { requestLines, contextLines } = collectTrace(files.flatMap(readLines), args.request)
    if (requestLines.length === 0) exitWithError(`no line of ${files.join(', ')} names request ${args.request}; it may be among lines-dropped, or of another host`)
    for (const line of requestLines) console.log(`${formatTime(line)} ${describeRequestLine(line).join(' ')}`)
    if (contextLines.length > 0) console.log('Shortly before:')
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
