import { defineCommand } from 'citty'
import type { HostStatus } from '../daemon/describeStatus.js'
import { exitWithError } from './exitWithError.js'
import { formatTable } from './formatTable.js'
import { createOperatorClient } from './OperatorClient.js'
import { operatorArguments } from './operatorArguments.js'

interface CurrentSheetReply {
  content?: string
  message?: string
}

interface AcceptedSheetRow {
  revision: number
  number: number
  digest: string
  operator?: string
  acceptedAt: number
}

/** `hibiscusrelay sheet show`: prints the content of the sheet in force on the contacted host. */
export const sheetShowCommand = defineCommand({
  meta: { name: 'show', description: 'Print the sheet in force on a host' },
  args: operatorArguments,
  run: async ({ args }) => {
    const { body } = await createOperatorClient(args).get<CurrentSheetReply>('/v1/sheets/current')
    if (body.content === undefined) return exitWithError(body.message ?? 'the host has no sheet in force')
    process.stdout.write(body.content)
  }
})

/** `hibiscusrelay sheet status`: lists the number of the sheet in force on each host. */
export const sheetStatusCommand = defineCommand({
  meta: { name: 'status', description: 'Show the number of the sheet in force on every host' },
  args: operatorArguments,
  run: async ({ args }) => {
    const { body } = await createOperatorClient(args).get<HostStatus>('/v1/status')
    const rows = body.members.map((member) => [member.name, member.domain, member.state, member.sheetNumber])
    console.log(args.json === true ? JSON.stringify(body.members) : formatTable(['host', 'failure domain', 'state', 'sheet'], rows))
  }
})

/** `hibiscusrelay sheet history`: lists the accepted sheets, oldest first. */
export const sheetHistoryCommand = defineCommand({
  meta: { name: 'history', description: 'List the accepted sheets (needs a host with a replica)' },
  args: operatorArguments,
  run: async ({ args }) => {
    const { body } = await createOperatorClient(args).get<AcceptedSheetRow[]>('/v1/sheets/history')
    const rows = body.map((sheet) => [sheet.revision, sheet.number, sheet.digest.slice(0, 12), sheet.operator ?? '', new Date(sheet.acceptedAt).toISOString()])
    console.log(args.json === true ? JSON.stringify(body) : formatTable(['revision', 'number', 'digest', 'operator', 'accepted'], rows))
  }
})
