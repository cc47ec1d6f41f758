import { hashText } from './hashText.js'

/**
 * Orders names by rendezvous hashing: all callers with the same names get the same order,
 * and adding or removing a name does not change the order of the others.
 *
 * @param key - key for which the names are ranked
 * @param names - names of the candidates
 * @returns the names in order of preference
 */
export function rankByRendezvous (key: string, names: readonly string[]): string[] {
  return names
    .map((name) => ({ name, score: hashText(`${key}|${name}`) }))
    .sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1))
    .map((candidate) => candidate.name)
}
