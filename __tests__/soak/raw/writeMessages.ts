import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { splitAddress } from '../../../src/utils/splitAddress.js'
import { writeWithoutEnd, type EndlessPart } from '../../support/EndlessWriter.js'
import type { Draw } from '../Draw.js'
import { CONTROL_HOSTS, type SoakSystem } from '../SoakSystem.js'
import { drawEndless } from './drawEndless.js'
import { SOUND_PREFIX } from './rawRoutes.js'

const LONGEST_PAUSE_MILLISECONDS = 500
const SHORTEST_WRITE_MILLISECONDS = 1_000
const LONGEST_WRITE_MILLISECONDS = 6_000
const CONTROL_SHARE = 0.4

/**
 * Sends one request without end after another to entry hosts, and announcements without end to control hosts.
 *
 * @param system - the hosts
 * @param draw - random choices
 * @param isStopping - whether the present message is the last one
 * @param report - receives a line for each message
 */
export async function writeMessages (system: SoakSystem, draw: Draw, isStopping: () => boolean, report: (text: string) => void): Promise<void> {
  while (!isStopping()) {
    await sleep(draw.between(0, LONGEST_PAUSE_MILLISECONDS))
    const isControl = draw.chance(CONTROL_SHARE)
    const host = draw.index(isControl ? CONTROL_HOSTS : system.entryHosts.length)
    const { name, beginning, ...part } = drawEndless(draw)
    report(`endless at ${isControl ? 'control' : 'entry'}-${host}: ${name}`)
    const line = isControl ? 'POST /instances/endless-guest/heartbeat' : `POST ${SOUND_PREFIX}by-${host}/endless`
    const head = `${line} HTTP/1.1\r\nHost: stock.example\r\nAttempt-Id: endless\r\nDeadline-Ms: 7000\r\n`
    await write(isControl ? system.getControlAddress(host) : system.getGuestAddress(host), { beginning: beginning === undefined ? '' : head + beginning, ...part }, draw.between(SHORTEST_WRITE_MILLISECONDS, LONGEST_WRITE_MILLISECONDS))
  }
}

/** Writes one message, for a limited time or until the host closes the connection. */
async function write (address: string, { beginning, ...part }: EndlessPart & { beginning: string }, milliseconds: number): Promise<void> {
  const socket = connect(splitAddress(address))
  // The end of a connection is told by its close.
  const closed = new Promise((resolve) => { socket.on('error', () => {}).once('close', resolve) })
  socket.resume().write(beginning)
  writeWithoutEnd(socket, part)
  await Promise.race([closed, sleep(milliseconds, undefined, { ref: false })])
  socket.destroy()
}
