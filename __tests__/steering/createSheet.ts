import { parseSheet, type CheckedSheet } from '../../src/hibiscusrelay.js'
import { HEADER } from '../sheet/createSheetText.js'

/** Places of the test sheet: two failure domains in each of three regions; a failure domain has the name of its place. */
export const PLACES = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2']

/** Contents of a test sheet. */
export interface SheetOptions {
  number?: number
  draining?: string[]
  /** Shares of guest place a1; the other guest places have equal shares. */
  shares?: Record<string, number>
}

/** Creates a checked sheet with one service, `desk`. */
export function createSheet ({ number = 1, draining = [], shares = { a1: 90, a2: 10, b1: 0, b2: 0, c1: 0, c2: 0 } }: SheetOptions = {}): CheckedSheet {
  const rows = [
    `sheet,,,,,,,,${number},,`,
    'service,desk,idempotent,,,,,,,,',
    ...PLACES.map((place) => `place,,,,${place},${place},${place[0]},,,,${draining.includes(place) ? 'draining' : 'open'}`),
    ...['a,b', 'a,c', 'b,c'].map((pair) => `link,,,,,,${pair},280,Mbit/s,`),
    ...Object.entries(shares).map(([place, share]) => `placement,desk,,a1,${place},,,,${share},share,`),
    ...PLACES.map((place) => `placement,desk,,*,${place},,,,1,share,`),
    ...PLACES.map((place) => `cap,desk,,,${place},,,,100,requests/s,`)
  ]
  const { sheet, faults } = parseSheet([HEADER, ...rows].join('\n'))
  if (sheet === undefined) throw new Error(JSON.stringify(faults))
  return sheet
}
