import { sendGuestRequest, sendPost, waitUntil } from './httpCalls.js'
import { composePlan } from './composePlan.js'
import { PlatformSystem } from './PlatformSystem.js'
import { StandInUpstream } from './StandInUpstream.js'

/**
 * Starts three control hosts and an entry host, and demonstrates a plan, a request, an evacuation and a drain.
 *
 * @param networkNumber - second number N of the addresses 127.N.0.1, 127.N.0.2 and so on
 * @throws Error when a step does not succeed within 20 s
 */
export async function runPlatformDemo (networkNumber: number): Promise<void> {
  const system = new PlatformSystem(networkNumber)
  const upstream = new StandInUpstream('i-1')
  try {
    await upstream.open()
    system.start()
    await runSteps(system, upstream)
  } finally {
    upstream.close()
    await system.stop()
  }
}

async function runSteps (system: PlatformSystem, upstream: StandInUpstream): Promise<void> {
  const controlAddress = system.getControlAddress(1)
  const guestAddress = system.guestAddress
  await waitUntil(async () => await sendPost(controlAddress, '/config/replace', composePlan('00000002', '00000000')) === 200)
  console.log('plan 2 is accepted by a majority of control hosts')
  console.log(`plan 3 with a wrong base version: status ${await sendPost(controlAddress, '/config/replace', composePlan('00000003', '00000001'))}`)
  console.log(`an upstream announces itself: status ${await upstream.announce(controlAddress)}`)
  await waitUntil(async () => (await sendGuestRequest(guestAddress, '/lookups/1', 'a-1')).status === 200)
  console.log(`a guest sends a request to ${guestAddress}: status 200, "${(await sendGuestRequest(guestAddress, '/lookups/1', 'a-2')).text}"`)
  console.log(`its failure domain is evacuated: status ${await sendPost(controlAddress, '/evacuations/oviedo/begin')}`)
  await waitUntil(async () => (await sendGuestRequest(guestAddress, '/lookups/1', 'a-3')).status === 503)
  const { status, retryAfter } = await sendGuestRequest(guestAddress, '/lookups/1', 'a-4')
  console.log(`the guest's request is refused without being run: status ${status}, retry after ${retryAfter} s`)
  await sendPost(controlAddress, '/evacuations/oviedo/finish')
  await waitUntil(async () => (await sendGuestRequest(guestAddress, '/lookups/1', 'a-5')).status === 200)
  console.log('the evacuation is finished: requests are served again')
  console.log(`the upstream drains: status ${await upstream.announce(system.getControlAddress(2), 'draining')}`)
  await waitUntil(async () => (await sendGuestRequest(guestAddress, '/lookups/1', 'a-6')).status === 503)
  console.log(`the upstream gets no more requests; it ran ${upstream.runs.length}`)
}
