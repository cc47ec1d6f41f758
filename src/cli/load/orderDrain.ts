import type { HostStatus } from '../../daemon/describeStatus.js'
import { HibiscusrelayError } from '../../errors/HibiscusrelayError.js'
import { errorTexts } from '../../errors/errorTexts.js'
import { Step } from '../../types/Step.js'
import type { OperatorClient, OperatorReply } from '../OperatorClient.js'
import { drainPlaceInSheet } from './drainPlaceInSheet.js'
import type { DrainOrder } from './DrainOrder.js'
import { DrainTarget } from './DrainTarget.js'

/**
 * Orders a drain as an operator does: that of an upstream from its owner, that of a place by submitting the next sheet.
 *
 * @param clients - operator interfaces of the hosts
 * @param order - target of the drain
 * @returns the failure domain of a place; empty for an upstream
 * @throws {@link HibiscusrelayError} when the drain was refused, no host owns the upstream, or the sheet has no such open place
 */
export async function orderDrain (clients: OperatorClient[], order: DrainOrder): Promise<{ domain?: string }> {
  return order.target === DrainTarget.Place ? await drainPlace(clients, order.name) : await drainUpstream(clients, order.name)
}

async function drainUpstream (clients: OperatorClient[], address: string): Promise<{ domain?: string }> {
  for (const client of clients) {
    const { body } = await client.get<HostStatus>('/v1/status')
    if (!body.upstreams.some((upstream) => upstream.address === address && upstream.granted)) continue
    checkReply(client, await client.post(`/v1/drains/upstream?address=${encodeURIComponent(address)}`))
    return {}
  }
  throw new HibiscusrelayError(errorTexts.drainUnknownUpstream(address), { step: Step.Settings, peer: address })
}

async function drainPlace (clients: OperatorClient[], place: string): Promise<{ domain?: string }> {
  const client = clients[0]!
  const current = await client.get<{ content?: string }>('/v1/sheets/current')
  const { content, domain } = drainPlaceInSheet(current.body.content ?? '', place)
  checkReply(client, await client.post('/v1/sheets', content))
  return { domain }
}

function checkReply (client: OperatorClient, { status, body }: OperatorReply<unknown>): void {
  if (status >= 300) throw new HibiscusrelayError(errorTexts.drainRefused(status, JSON.stringify(body)), { step: Step.Settings, peer: client.address })
}
