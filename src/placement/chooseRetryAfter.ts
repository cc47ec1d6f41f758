/** Time in which a full upstream gets room: about one run of warm work. */
const ROOM_MILLISECONDS = 300
/** Width over which guests that were refused together come back. */
const SPREAD_MILLISECONDS = 700

/**
 * Chooses when a refused guest should come back.
 *
 * Load pattern: a burst is refused within some milliseconds; without a spread its guests come back as the same burst.
 *
 * @param remainingMilliseconds - what is left of the guest's time
 * @param draw - a number from 0 up to but not including 1
 * @returns seconds
 */
export function chooseRetryAfter (remainingMilliseconds: number, draw: number): number {
  const wanted = ROOM_MILLISECONDS + draw * SPREAD_MILLISECONDS
  return Math.round(Math.min(wanted, remainingMilliseconds / 3)) / 1000
}
