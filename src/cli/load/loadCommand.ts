import { readFileSync, writeFileSync } from 'node:fs'
import { defineCommand } from 'citty'
import { HibiscusrelayError } from '../../errors/HibiscusrelayError.js'
import { errorTexts } from '../../errors/errorTexts.js'
import { RequestClass } from '../../types/RequestClass.js'
import { Step } from '../../types/Step.js'
import { createOperatorClient } from '../OperatorClient.js'
import { formatLoadHtml } from './formatLoadHtml.js'
import { formatLoadText } from './formatLoadText.js'
import { HostWatch } from './HostWatch.js'
import type { LoadPlan } from './LoadPlan.js'
import { LoadProfile } from './LoadProfile.js'
import type { LoadStream } from './LoadStream.js'
import { LoadTally } from './LoadTally.js'
import { parseSchedule } from './parseSchedule.js'
import { composeProfileStreams } from './composeProfileStreams.js'
import { runLoad } from './runLoad.js'

const loadArguments = {
  entry: { type: 'string', required: true, description: 'guest addresses of entry hosts, ip:port, separated by commas' },
  place: { type: 'string', description: 'place of the guests; decided by their address when missing' },
  profile: { type: 'string', description: `send the traffic of a deployment: ${Object.values(LoadProfile).join(' or ')}` },
  scale: { type: 'string', default: '1', description: 'fraction of the deployment\'s slots that exists' },
  utilization: { type: 'string', default: '0.8', description: 'fraction of these slots to keep busy' },
  'service-time': { type: 'string', default: '20', description: 'mean service time of the upstreams in milliseconds' },
  service: { type: 'string', description: 'service to send to, without a profile' },
  class: { type: 'string', default: RequestClass.Idempotent, description: `class of the requests: ${Object.values(RequestClass).join(' or ')}` },
  rate: { type: 'string', default: '100', description: 'requests per second' },
  path: { type: 'string', default: 'load', description: 'path and query below the service\'s path' },
  deadline: { type: 'string', default: '2000', description: 'time for each complete answer in milliseconds' },
  body: { type: 'string', default: '200', description: 'size of each request body in bytes' },
  resends: { type: 'string', default: '0', description: 'number of times that each request is sent again with the same key' },
  for: { type: 'string', default: '10', description: 'duration of the run in seconds' },
  seed: { type: 'string', default: '1', description: 'seed of the arrival times and of the choice among hosts' },
  schedule: { type: 'string', description: 'file of changes during the run, one a line: <seconds>s [rate <factor>] [drain place <name> | drain upstream <ip:port>] [note]' },
  operators: { type: 'string', description: 'operator addresses of the hosts, ip:port, separated by commas; needed for the report on headroom and drains' },
  'token-file': { type: 'string', description: 'file with the operator token (or HIBISCUSRELAY_TOKEN_FILE)' },
  json: { type: 'string', description: 'write the figures to this file as JSON' },
  html: { type: 'string', description: 'write an HTML page with plots to this file' }
} as const

/** Values of {@link loadArguments} as given on the command line. */
type LoadArgumentValues = { [Name in keyof typeof loadArguments]?: string }

/** `hibiscusrelay load`: sends requests at rates that don't depend on the answers, and reports latencies and outcomes. */
export const loadCommand = defineCommand({
  meta: { name: 'load', description: 'Send load through the entry hosts and report latencies and outcomes' },
  args: loadArguments,
  run: async ({ args }) => { await runLoadCommand(args) }
})

async function runLoadCommand (values: LoadArgumentValues): Promise<void> {
  const plan: LoadPlan = {
    entryAddresses: String(values.entry).split(','),
    place: values.place,
    streams: composeStreams(values),
    durationSeconds: Number(values.for),
    seed: Number(values.seed),
    schedule: values.schedule === undefined ? [] : parseSchedule(values.schedule, readFileSync(values.schedule, 'utf8'))
  }
  const hostWatch = startHostWatch(values, plan)
  const tally = new LoadTally(plan)
  await runLoad(plan, (record) => { tally.add(record) })
  const summary = { ...tally.summarize(), ...await hostWatch?.stop() }
  console.log(formatLoadText(summary))
  if (values.json !== undefined) writeFileSync(values.json, `${JSON.stringify(summary, null, 2)}\n`)
  if (values.html !== undefined) writeFileSync(values.html, formatLoadHtml(summary))
}

function startHostWatch (values: LoadArgumentValues, plan: LoadPlan): HostWatch | undefined {
  if (values.operators !== undefined) {
    const clients = values.operators.split(',').map((operator) => createOperatorClient({ operator, 'token-file': values['token-file'] }))
    return new HostWatch(clients, plan.schedule)
  }
  if (plan.schedule.every((entry) => entry.drain === undefined)) return undefined
  throw new HibiscusrelayError(errorTexts.drainWithoutOperators(), { step: Step.Settings, peer: values.schedule ?? '' })
}

function composeStreams (values: LoadArgumentValues): LoadStream[] {
  const profile = Object.values(LoadProfile).find((candidate) => candidate === values.profile)
  if (profile !== undefined) return composeProfileStreams(profile, Number(values.scale), Number(values.utilization), Number(values['service-time']))
  return [{
    service: values.service ?? '',
    requestClass: values.class === RequestClass.OneTime ? RequestClass.OneTime : RequestClass.Idempotent,
    requestsPerSecond: Number(values.rate),
    maximumRequests: Infinity,
    path: values.path ?? '',
    deadlineMilliseconds: Number(values.deadline),
    bodyBytes: Number(values.body),
    resends: Number(values.resends),
    resendWithinMilliseconds: Number(values.deadline) / 2
  }]
}
