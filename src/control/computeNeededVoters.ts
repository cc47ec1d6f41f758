import type { ControlHostSettings } from './ControlHostOptions.js'

/**
 * Computes the number of voters from which on a majority survives the loss of as many disks as may be lost at once.
 *
 * @param settings - number of voters in a complete group, and number of losses
 * @returns twice the losses and one more, at most a complete group
 */
export function computeNeededVoters ({ wantedVoters, toleratedLosses }: Pick<ControlHostSettings, 'wantedVoters' | 'toleratedLosses'>): number {
  const losses = toleratedLosses ?? Math.floor((wantedVoters - 1) / 2)
  return Math.min(2 * losses + 1, wantedVoters)
}
