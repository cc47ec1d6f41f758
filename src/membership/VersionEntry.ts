import type { MemberState } from '../types/MemberState.js'

/** Version of the record that the sender stores of a host. */
export interface VersionEntry {
  name: string
  incarnation: number
  version: number
  state: MemberState
}
