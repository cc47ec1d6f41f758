import type { Socket } from 'node:net'
import { DiscardedBytes } from '../limits/DiscardedBytes.js'
import type { PieceRate } from '../limits/PieceRate.js'

/**
 * Reads and discards what arrives on a connection, at a bounded rate and up to a bound, as it may be without end: beyond the bound nothing
 * is read until the host ends the connection, and a connection that it has ended is closed.
 *
 * @param socket - connection of which no further request is read
 * @param discardRate - rate of the bytes of all connections that are discarded
 */
export function discardArriving (socket: Socket, discardRate: PieceRate): void {
  const discarded = new DiscardedBytes(discardRate)
  // The HTTP library would keep each further request.
  socket.removeAllListeners('data')
  socket.on('data', ({ length }: Buffer) => {
    const pauseMilliseconds = discarded.record(length)
    if (discarded.isExhausted && socket.writableEnded) socket.destroy()
    if (pauseMilliseconds === 0 || socket.isPaused()) return
    socket.pause()
    if (!discarded.isExhausted) setTimeout(() => { socket.resume() }, pauseMilliseconds)
  })
  // The parser has read in place of the stream, which would else wait for a read that it began long ago, and not read on after a pause.
  socket.push('')
  socket.resume()
}
