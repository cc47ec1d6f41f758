/** Kinds of records in a sheet; each value is the content of the `record` column. */
export enum SheetRecord {
  Sheet = 'sheet',
  Service = 'service',
  Place = 'place',
  Guests = 'guests',
  Placement = 'placement',
  Cap = 'cap',
  Link = 'link'
}
