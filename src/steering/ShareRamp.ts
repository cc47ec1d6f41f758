import { ANY_GUEST_PLACE } from '../sheet/sheetLimits.js'
import { PlaceState } from '../types/PlaceState.js'
import type { PlacementEntry, Sheet } from '../types/Sheet.js'
import { GroupRamp, type RampSettings } from './GroupRamp.js'
import type { PlaceShare } from './PlaceShare.js'
import { normalizeShares, planShares } from './planShares.js'

const DEFAULT_RAMP: RampSettings = { durationMilliseconds: 5_000, steps: 20 }

/**
 * Holds the shares in effect, and moves them to those of each new sheet in bounded steps:
 * the fraction of a place changes by at most 1 / `steps` at a time. A place that drains or is missing
 * from the sheet loses its share at once; the others take it over in proportion to their own.
 */
export class ShareRamp {
  readonly #settings: RampSettings
  #digest = ''
  #ramps = new Map<string, GroupRamp>()

  /** @param settings - duration and number of steps of each move */
  constructor (settings: RampSettings = DEFAULT_RAMP) {
    this.#settings = settings
  }

  /**
   * Starts the move to the shares of a sheet. The first sheet is in effect at once.
   *
   * @param sheet - the sheet now in force
   */
  apply (sheet: Sheet): void {
    if (sheet.digest === this.#digest) return
    const placements = groupPlacements(sheet)
    const ramps = new Map<string, GroupRamp>()
    for (const key of new Set([...placements.keys(), ...this.#ramps.keys()])) {
      const service = key.slice(0, key.indexOf(' '))
      const plannedPlacements = placements.get(key) ?? placements.get(createGroupKey(service, ANY_GUEST_PLACE))
      if (plannedPlacements === undefined) continue
      const target = planShares(sheet, plannedPlacements)
      ramps.set(key, new GroupRamp(this.#computeStartingShares(sheet, key, service) ?? target, target, this.#settings))
    }
    this.#ramps = ramps
    this.#digest = sheet.digest
  }

  /**
   * @param service - name of the service
   * @param guestPlace - place of the guest, undefined when its address is in no block
   * @returns shares in effect now, of open places only; none when the sheet does not place the service
   */
  sharesOf (service: string, guestPlace: string | undefined): PlaceShare[] {
    const ramp = this.#findRamp(service, guestPlace ?? ANY_GUEST_PLACE)
    return ramp?.getShares() ?? []
  }

  #findRamp (service: string, guestPlace: string): GroupRamp | undefined {
    return this.#ramps.get(createGroupKey(service, guestPlace)) ?? this.#ramps.get(createGroupKey(service, ANY_GUEST_PLACE))
  }

  #computeStartingShares (sheet: Sheet, key: string, service: string): PlaceShare[] | undefined {
    const previous = this.#findRamp(service, key.slice(service.length + 1))?.getShares() ?? []
    const remaining = previous.filter(({ place, fraction }) => fraction > 0 && sheet.places.get(place)?.state === PlaceState.Open)
    return remaining.length === 0 ? undefined : normalizeShares(remaining)
  }
}

function groupPlacements (sheet: Sheet): Map<string, PlacementEntry[]> {
  const groups = new Map<string, PlacementEntry[]>()
  for (const placement of sheet.placements) {
    const key = createGroupKey(placement.service, placement.guestPlace)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [placement])
    else group.push(placement)
  }
  return groups
}

function createGroupKey (service: string, guestPlace: string): string {
  return `${service} ${guestPlace}`
}
