import type { Socket } from 'node:net'

/** A pause of a connection. */
interface Pause {
  /** When it ends, on the clock of `performance.now()`. */
  endsAt: number
  end: () => void
}

const pauses = new WeakMap<Socket, Pause>()

/**
 * Reads nothing more from a connection for a time: the pieces of what has been read are handed over at once, and cannot wait. The longest
 * of several pauses counts; all end when the host ends the connection.
 *
 * @param socket - connection whose requests the HTTP library reads
 * @param milliseconds - duration; 0 to read on
 */
export function pauseFor (socket: Socket, milliseconds: number): void {
  if (milliseconds === 0) return
  const endsAt = performance.now() + milliseconds
  const running = pauses.get(socket)
  if (running === undefined) beginPause(socket, endsAt)
  else running.endsAt = Math.max(running.endsAt, endsAt)
}

/**
 * Reads on from a connection that is paused, if it is.
 *
 * @param socket - the connection
 */
export function endPause (socket: Socket): void {
  pauses.get(socket)?.end()
}

function beginPause (socket: Socket, endsAt: number): void {
  // The library resumes the connection each time it has handed over a piece.
  const pauseAgain = (): void => { if (!socket.writableEnded) socket.pause() }
  let timer: NodeJS.Timeout | undefined
  const pause: Pause = {
    endsAt,
    end: () => {
      clearTimeout(timer)
      pauses.delete(socket)
      socket.off('resume', pauseAgain).resume()
    }
  }
  const endWhenDue = (): void => {
    const remainingMilliseconds = pause.endsAt - performance.now()
    if (remainingMilliseconds > 0 && !socket.writableEnded) timer = setTimeout(endWhenDue, remainingMilliseconds)
    else pause.end()
  }
  pauses.set(socket, pause)
  socket.on('resume', pauseAgain).pause()
  endWhenDue()
}
