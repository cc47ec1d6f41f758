/** State of a place, which decides whether it accepts new work. */
export enum PlaceState {
  Open = 'open',
  /** Being drained for planned maintenance: accepts no new work and finishes the running requests. */
  Draining = 'draining'
}
