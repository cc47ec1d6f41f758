/** A moment on both clocks of the process, in milliseconds. */
export interface ClockReading {
  /** Clock of `performance.now()`; it stands still while the machine is suspended. */
  monotonic: number
  /** Clock of `Date.now()`; it goes on during a suspension, and may be stepped. */
  wall: number
}

/** @returns the present moment */
export function readClocks (): ClockReading {
  return { monotonic: performance.now(), wall: Date.now() }
}

/**
 * @param reading - an earlier moment
 * @returns milliseconds since then by the clock that has advanced more, so that a suspension counts
 */
export function getElapsedMilliseconds (reading: ClockReading): number {
  const now = readClocks()
  return Math.max(now.monotonic - reading.monotonic, now.wall - reading.wall)
}
