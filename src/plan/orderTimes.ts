/**
 * Time from its arrival after which an order that changes the evacuations is carried out, if its caller has not left. A caller
 * that gave up on a cut link sends the end of its connection when the order is confirmed to it: one round trip later, which is
 * 6 ms to a near host and 116 ms to one in another region. If that segment is lost, TCP sends it again after 200 ms at the earliest.
 */
const SETTLE_MILLISECONDS = 250
/** Operators give up a connection after one second without a response, so an order that is older has nobody who waits for it. */
const LIFETIME_MILLISECONDS = 1_000

/**
 * Load pattern: copies of an order that were held up on the way, and arrive together with proper new orders.
 *
 * @param ageMilliseconds - time since the order arrived
 * @param isChange - whether it changes the evacuations that this host knows; one that changes nothing cannot undo another one
 * @returns milliseconds to wait until it may be carried out
 */
export function computeSettleTime (ageMilliseconds: number, isChange: boolean): number {
  return isChange ? Math.max(0, SETTLE_MILLISECONDS - ageMilliseconds) : 0
}

/**
 * An order may be in progress for long on a host that was cut off from the others or frozen. The end of its caller's connection
 * does not reach a host that is cut off from the caller, too, and comes up to seconds after the link works again.
 *
 * @param ageMilliseconds - time since the order arrived
 * @returns whether its caller has given up
 */
export function isOrderExpired (ageMilliseconds: number): boolean {
  return ageMilliseconds >= LIFETIME_MILLISECONDS
}
