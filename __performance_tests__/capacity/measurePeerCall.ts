import { HttpListener } from '../../src/transport/HttpListener.js'
import { PeerClient } from '../../src/transport/PeerClient.js'
import { PeerServer } from '../../src/transport/PeerServer.js'
import { PeerSignature } from '../../src/transport/PeerSignature.js'
import { Counters } from '../../src/observe/Counters.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'

const ADDRESS = '127.0.0.1:17461'
const WARM_UP_CALLS = 500
const MEASURED_CALLS = 3000
const TIMEOUT_MILLISECONDS = 1000

/** Processor time of one signed call between two hosts over HTTP, for both ends together. */
export interface PeerCallFigures {
  bodyBytes: number
  processorMicroseconds: number
}

/**
 * @param bodyBytes - approximate length of the request body and of the answer body
 * @returns mean processor time of a call
 */
export async function measurePeerCall (bodyBytes: number): Promise<PeerCallFigures> {
  const signature = new PeerSignature('capacity')
  const server = new PeerServer(signature, new Counters())
  server.register(PeerMethod.Probe, (parameters: object) => parameters)
  const listener = new HttpListener({ address: ADDRESS, headerBytes: 16_384, handle: async (request, response) => { await server.handle(request, response) }, onMalformed: () => '' })
  await listener.open()
  const client = new PeerClient(signature, (address) => address)
  const parameters = { text: 'x'.repeat(bodyBytes) }
  for (let call = 0; call < WARM_UP_CALLS; call++) await client.call(ADDRESS, PeerMethod.Probe, parameters, TIMEOUT_MILLISECONDS)
  const processorUsageBefore = process.cpuUsage()
  for (let call = 0; call < MEASURED_CALLS; call++) await client.call(ADDRESS, PeerMethod.Probe, parameters, TIMEOUT_MILLISECONDS)
  const used = process.cpuUsage(processorUsageBefore)
  await client.close()
  await listener.closeWithin(0)
  listener.destroy()
  return { bodyBytes, processorMicroseconds: (used.user + used.system) / MEASURED_CALLS }
}
