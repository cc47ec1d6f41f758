import type { Member } from '../types/Member.js'
import { MemberState } from '../types/MemberState.js'

/** Availability of a host as an entry host for guests, best first. */
export enum HostAvailability {
  Usable = 0,
  /** All places of its failure domain are draining. */
  PlaceDraining = 1,
  Suspect = 2,
  /** The host itself is stopping. */
  Draining = 3,
  Dead = 4,
  Left = 5
}

/**
 * @param member - a host
 * @param drainingDomains - failure domains all of whose places are draining
 * @returns availability of the host for guests
 */
export function classifyAvailability (member: Member, drainingDomains: ReadonlySet<string>): HostAvailability {
  if (member.state === MemberState.Left) return HostAvailability.Left
  if (member.state === MemberState.Dead) return HostAvailability.Dead
  if (member.details.draining) return HostAvailability.Draining
  if (member.state === MemberState.Suspect) return HostAvailability.Suspect
  return drainingDomains.has(member.host.domain) ? HostAvailability.PlaceDraining : HostAvailability.Usable
}
