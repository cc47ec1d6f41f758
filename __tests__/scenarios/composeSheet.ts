/** What a generated sheet states. */
export interface SheetContent {
  number: number
  /** Class of each service by name. */
  classesByService: Map<string, string>
  /** Region of each failure domain by name; each domain is one place. */
  regionsByDomain: Map<string, string>
  /** Places that are being emptied. */
  drainingPlaces: string[]
  /** Cap of each place in requests per second. */
  capRequestsPerSecond: number
  /** Caps that differ, by `<service> <place>`. */
  capOverrides: Map<string, number>
  /** Shares of places that differ from 10; 0 is last resort only. */
  shareOverrides?: Map<string, number>
  /** Capacity of the link between any two regions. */
  linkMegabitsPerSecond: number
}

const HEADER_ROW = 'record,service,class,guests,place,domain,region,to_region,amount,unit,state'

/**
 * @param content - what the sheet states
 * @returns the sheet as CSV; every place serves every service, and a guest's own place comes first
 */
export function composeSheet (content: SheetContent): string {
  const places = [...content.regionsByDomain.keys()]
  const services = [...content.classesByService.keys()]
  const rows = [
    HEADER_ROW,
    `sheet,,,,,,,,${content.number},,`,
    ...[...content.classesByService].map(([name, requestClass]) => `service,${name},${requestClass},,,,,,,,`),
    ...[...content.regionsByDomain].map(([name, region]) => `place,,,,${name},${name},${region},,,,${content.drainingPlaces.includes(name) ? 'draining' : 'open'}`),
    ...places.map((place, index) => `guests,,,10.${index}.0.0/16,${place},,,,,,`),
    ...services.flatMap((service) => places.map((place) => `placement,${service},,*,${place},,,,${content.shareOverrides?.get(place) ?? 10},share,`)),
    ...services.flatMap((service) => places.map((place) => `cap,${service},,,${place},,,,${content.capOverrides.get(`${service} ${place}`) ?? content.capRequestsPerSecond},requests/s,`)),
    ...composeLinks(content)
  ]
  return `${rows.join('\n')}\n`
}

function composeLinks (content: SheetContent): string[] {
  const regions = [...new Set(content.regionsByDomain.values())]
  return regions.flatMap((from, index) => regions.slice(index + 1).map((to) => `link,,,,,,${from},${to},${content.linkMegabitsPerSecond},Mbit/s,`))
}
