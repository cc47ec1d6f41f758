/** Columns of a sheet; each value is the name in the header row. */
export enum SheetColumn {
  Record = 'record',
  Service = 'service',
  Class = 'class',
  Guests = 'guests',
  Place = 'place',
  Domain = 'domain',
  Region = 'region',
  ToRegion = 'to_region',
  Amount = 'amount',
  Unit = 'unit',
  State = 'state'
}
