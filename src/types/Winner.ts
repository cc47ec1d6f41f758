/** Which attempt of a request with two of them answered it; a value of the field `winner` in log lines. */
export enum Winner {
  First = 'first',
  Second = 'second',
  None = 'none'
}
