/** Units of the `amount` column; each value is the content of the `unit` column. */
export enum SheetUnit {
  Share = 'share',
  RequestsPerSecond = 'requests/s',
  MegabitsPerSecond = 'Mbit/s'
}
