/** What became of an answer behind which the upstream wrote a further one on the same connection. */
export enum RepeatedAnswer {
  /** The further one repeats the answer and was cut off. */
  CutOff = 'cut-off',
  /** It is not known where the answer ends, so that it counts as broken. */
  Ambiguous = 'ambiguous'
}
