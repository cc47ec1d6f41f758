/** Kinds of drain targets. */
export enum DrainTarget {
  Place = 'place',
  Upstream = 'upstream'
}
