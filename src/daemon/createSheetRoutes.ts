import { digestOf, formatSheetFault, SubmitResult, type OperatorAnswer, type OperatorRequest, type OperatorRoute } from '../hibiscusrelay.js'
import type { HostSheets } from './HostSheets.js'

const STATUS_BY_RESULT: Record<SubmitResult, number> = {
  [SubmitResult.Accepted]: 200,
  [SubmitResult.AcceptedBefore]: 200,
  [SubmitResult.Conflict]: 409,
  [SubmitResult.Stale]: 409,
  [SubmitResult.Forgotten]: 410,
  [SubmitResult.NoQuorum]: 503
}

/** Creates the operator routes for sheets. */
export function createSheetRoutes (sheets: HostSheets): Array<[string, OperatorRoute]> {
  return [
    ['POST /v1/sheets', (request) => submitSheet(sheets, request)],
    ['GET /v1/sheets/current', () => showSheet(sheets)],
    ['GET /v1/sheets/history', () => ({ status: 200, body: sheets.replica?.registry.history() ?? [] })]
  ]
}

async function submitSheet (sheets: HostSheets, request: OperatorRequest): Promise<OperatorAnswer> {
  const content = request.body.toString()
  const { sheet, faults } = sheets.checkSheet(content)
  if (sheet === undefined) return { status: 422, body: { result: 'faults', faults: faults.map(formatSheetFault) } }
  const answer = await sheets.submit({ number: sheet.number, digest: digestOf(content), content, operator: request.operator })
  return { status: STATUS_BY_RESULT[answer.result], body: answer }
}

function showSheet (sheets: HostSheets): OperatorAnswer {
  const inForce = sheets.getSheetInForce()
  if (inForce === undefined) return { status: 404, body: { message: 'no sheet is in force on this host' } }
  return { status: 200, body: inForce }
}
