/** Content of a generated sheet. */
export interface SheetContent {
  number: number
  /** Class of each service by name. */
  classesByService: Map<string, string>
  /** Region of each failure domain by name; each domain is also one place. */
  regionsByDomain: Map<string, string>
  /** Places with the state `draining`. */
  drainingPlaces: string[]
  /** Default cap of each service at each place, in requests per second. */
  capRequestsPerSecond: number
  /** Caps that differ from the default, by `<service> <place>`. */
  capOverrides: Map<string, number>
  /** Shares of places that differ from the default of 10; a place with share 0 is used as the last resort only. */
  shareOverrides?: Map<string, number>
  /** Capacity of the link between any two regions, in megabits per second. */
  linkMegabitsPerSecond: number
}

const HEADER_ROW = 'record,service,class,guests,place,domain,region,to_region,amount,unit,state'

/**
 * @param content - content of the sheet
 * @returns the sheet as CSV; every place serves every service, and each place has a range of guests that use it first
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
