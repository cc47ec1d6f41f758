import type { Socket } from 'node:net'
import type { PieceRate } from '../limits/PieceRate.js'
import { discardArriving } from './discardArriving.js'

/** How long a caller may be silent before its connection is closed: some round trips of a slow link. */
const SILENCE_MILLISECONDS = 1_000
/** How long a caller may go on to send: large bodies on slow links, whose callers read the answer only afterwards. */
const TOTAL_MILLISECONDS = 10_000

/**
 * Ends a connection towards its caller, and closes it when the caller has closed it, too, or for a time sends nothing. A connection that is
 * closed before the bytes of its caller have been read is reset, and what the caller has not read yet is lost.
 *
 * @param socket - connection whose last answer has been handed over; what still arrives must be read and discarded
 * @param discardRate - rate of the bytes of all connections that are discarded
 */
export function closeAfterCaller (socket: Socket, discardRate: PieceRate): void {
  discardArriving(socket, discardRate)
  socket.end(() => {
    if (socket.destroyed) return
    const timer = setTimeout(() => { socket.destroy() }, TOTAL_MILLISECONDS)
    socket.once('close', () => { clearTimeout(timer) })
    socket.setTimeout(SILENCE_MILLISECONDS, () => { socket.destroy() })
  })
}
