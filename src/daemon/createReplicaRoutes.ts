import { HibiscusrelayError, type OperatorAnswer, type OperatorRequest, type OperatorRoute, type SheetReplica } from '../hibiscusrelay.js'
import type { HostSheets } from './HostSheets.js'

type ReplicaCommand = (replicatedLog: SheetReplica['replicatedLog'], request: OperatorRequest) => Promise<object>

/** Creates the operator routes for the replicas of the accepted sheets. */
export function createReplicaRoutes (sheets: HostSheets): Array<[string, OperatorRoute]> {
  const readParameter = (request: OperatorRequest, name: string): string => request.query.get(name) ?? ''
  return [
    ['GET /v1/replica', () => ({ status: 200, body: sheets.replica?.replicatedLog.status() ?? { message: 'this host has no replica' } })],
    ['POST /v1/replica/bootstrap', createCommandRoute(sheets, (replicatedLog) => replicatedLog.bootstrap(sheets.listReplicaAddresses()))],
    ['POST /v1/replica/replace', createCommandRoute(sheets, (replicatedLog, request) => replicatedLog.replace(readParameter(request, 'lost'), readParameter(request, 'address')))],
    ['POST /v1/replica/add', createCommandRoute(sheets, (replicatedLog, request) => replicatedLog.addLearner(readParameter(request, 'address')))],
    ['POST /v1/replica/promote', createCommandRoute(sheets, (replicatedLog, request) => replicatedLog.promote(readParameter(request, 'identity')))],
    ['POST /v1/replica/remove', createCommandRoute(sheets, (replicatedLog, request) => replicatedLog.remove(readParameter(request, 'identity')))],
    ['POST /v1/replica/recover', createCommandRoute(sheets, async (_replicatedLog, request) => ({ newest: await sheets.recover(readParameter(request, 'identity')) }))]
  ]
}

function createCommandRoute (sheets: HostSheets, run: ReplicaCommand): OperatorRoute {
  return async (request): Promise<OperatorAnswer> => {
    if (sheets.replica === undefined) return { status: 404, body: { message: 'this host has no replica' } }
    try {
      const body = await run(sheets.replica.replicatedLog, request)
      const isRefused = 'done' in body && body.done === false
      return { status: isRefused ? 409 : 200, body }
    } catch (error) {
      if (!(error instanceof HibiscusrelayError)) throw error
      return { status: 409, body: { message: error.message, step: error.step, peer: error.peer } }
    }
  }
}
