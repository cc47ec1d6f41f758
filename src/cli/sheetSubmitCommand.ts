import { setTimeout as sleep } from 'node:timers/promises'
import { defineCommand } from 'citty'
import type { HostStatus } from '../daemon/describeStatus.js'
import { createOperatorClient, type OperatorClient } from './OperatorClient.js'
import { operatorArguments } from './operatorArguments.js'
import { readFileOrExit, readSheetOrExit } from './sheetFileCommands.js'

const POLL_INTERVAL_MILLISECONDS = 200
const REFUSED_EXIT_CODE = 1

interface SubmitReply {
  result?: string
  accepted?: { digest: string, revision: number, operator?: string }
  currentNumber?: number
  outcomeUnknown?: boolean
  reason?: string
}

const RESULT_DESCRIPTIONS: Record<string, string> = {
  accepted: 'accepted',
  'accepted-before': 'already accepted earlier; nothing changed',
  conflict: 'this number was already accepted with different content',
  stale: 'a sheet with a higher number was already accepted',
  forgotten: 'the number is too old to determine whether it was accepted',
  'no-quorum': 'not confirmed by a majority of the replicas'
}

/** `hibiscusrelay sheet submit`: submits a sheet, and with `--wait` waits until it is in force. */
export const sheetSubmitCommand = defineCommand({
  meta: { name: 'submit', description: 'Submit a sheet; with --wait, wait until it is in force on every reachable host' },
  args: {
    ...operatorArguments,
    file: { type: 'positional', description: 'Sheet file (CSV)', required: true },
    wait: { type: 'boolean', description: 'Wait until the sheet is in force on every reachable host' }
  },
  run: async ({ args }) => {
    const sheet = readSheetOrExit(args.file)
    const client = createOperatorClient(args)
    const reply = await client.post<SubmitReply>('/v1/sheets', readFileOrExit(args.file))
    console.log(args.json === true ? JSON.stringify(reply.body) : formatReply(sheet.number, reply.body))
    if (reply.status >= 300) process.exit(REFUSED_EXIT_CODE)
    if (args.wait === true) await waitUntilInForce(client, sheet.number)
  }
})

function formatReply (number: number, reply: SubmitReply): string {
  const result = reply.result ?? ''
  const parts = [`sheet ${number}: ${RESULT_DESCRIPTIONS[result] ?? result}`]
  if (reply.accepted !== undefined) parts.push(`revision ${reply.accepted.revision}, digest ${reply.accepted.digest}, operator ${reply.accepted.operator ?? 'unknown'}`)
  if (reply.currentNumber !== undefined) parts.push(`newest accepted sheet ${reply.currentNumber}`)
  if (reply.outcomeUnknown === true) parts.push('it may still have been accepted; submit it again to find out')
  if (reply.reason !== undefined) parts.push(`reason ${reply.reason}`)
  return parts.join('; ')
}

async function waitUntilInForce (client: OperatorClient, number: number): Promise<void> {
  const startedAt = performance.now()
  process.once('SIGINT', () => {
    console.log('stopped waiting; the sheet remains accepted')
    process.exit(0)
  })
  let lastLine = ''
  while (true) {
    const { body } = await client.get<HostStatus>('/v1/status')
    const reachableMembers = body.members.filter((member) => member.state === 'alive')
    const outdatedMembers = reachableMembers.filter((member) => member.sheetNumber < number)
    const line = `in force on ${reachableMembers.length - outdatedMembers.length} of ${reachableMembers.length} reachable hosts; unreachable: ${body.members.length - reachableMembers.length}`
    if (line !== lastLine) console.log(line)
    lastLine = line
    if (outdatedMembers.length === 0) break
    await sleep(POLL_INTERVAL_MILLISECONDS)
  }
  console.log(`in force after ${Math.round(performance.now() - startedAt)} ms`)
}
