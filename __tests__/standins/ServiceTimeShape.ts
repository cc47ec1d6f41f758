/** Distribution of the service times of a stand-in upstream. */
export enum ServiceTimeShape {
  Constant = 'constant',
  Exponential = 'exponential'
}
