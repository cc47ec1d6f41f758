import { defineCommand } from 'citty'
import type { HostStatus } from '../daemon/describeStatus.js'
import { formatTable } from './formatTable.js'
import { createOperatorClient } from './OperatorClient.js'
import { operatorArguments } from './operatorArguments.js'

/** `hibiscusrelay status`: prints the status of one host as text or JSON. */
export const statusCommand = defineCommand({
  meta: { name: 'status', description: 'Show the status of a host: members, sheet, upstreams, counters' },
  args: operatorArguments,
  run: async ({ args }) => {
    const { body } = await createOperatorClient(args).get<HostStatus>('/v1/status')
    console.log(args.json === true ? JSON.stringify(body, null, 2) : formatStatus(body))
  }
})

/**
 * @param status - as the operator interface returns it
 * @returns tables of members, upstreams and counters that are not 0, below two lines on the host
 */
export function formatStatus (status: HostStatus): string {
  const sheet = status.sheet === undefined ? 'none' : `${status.sheet.number} (${status.sheet.digest.slice(0, 12)})`
  const members = status.members.map((member) => [member.name, member.domain, member.region, member.state, member.draining, member.sheetNumber])
  const upstreams = status.upstreams.map((upstream) => [upstream.service, upstream.address, upstream.state, upstream.granted, upstream.slots, upstream.running, upstream.foreign])
  const counters = Object.entries(status.counters).filter(([, value]) => value !== 0)
  return [
    `host ${status.host.name}  failure domain ${status.host.domain}  region ${status.host.region}  draining ${status.draining}`,
    `sheet in force ${sheet}  in flight ${status.inFlight}  waiting ${status.waiting}  control bytes sent ${status.controlBytesSent}`,
    '',
    formatTable(['member', 'failure domain', 'region', 'state', 'draining', 'sheet'], members),
    '',
    formatTable(['service', 'upstream', 'state', 'granted', 'slots', 'running', 'foreign'], upstreams),
    '',
    formatTable(['counter', 'value'], counters)
  ].join('\n')
}
