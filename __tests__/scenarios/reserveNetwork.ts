import { createServer } from 'node:net'

const FIRST_NETWORK = 20
const LAST_NETWORK = 220
const RESERVATION_PORT = 7999

/** A loopback network `127.<number>.0.0/16` that is reserved for one scenario run. */
export interface ReservedNetwork {
  number: number
  release: () => void
}

/**
 * Reserves a loopback network by listening on one of its addresses, so that concurrent runs use different addresses.
 *
 * @returns the network; `release` ends the reservation
 * @throws Error if no network is free
 */
export async function reserveNetwork (): Promise<ReservedNetwork> {
  for (let number = FIRST_NETWORK + process.pid % 50; number <= LAST_NETWORK; number += 1) {
    const release = await tryReserve(number)
    if (release !== undefined) return { number, release }
  }
  throw new Error('no loopback network is free')
}

async function tryReserve (number: number): Promise<(() => void) | undefined> {
  const server = createServer()
  return await new Promise((resolve) => {
    server.once('error', () => { resolve(undefined) })
    server.listen(RESERVATION_PORT, `127.${number}.0.1`, () => { resolve(() => { server.close() }) })
  })
}
