/** What a stand-in upstream reports of its load in its announcements. */
export enum LoadReport {
  Actual = 'truth',
  /** Always reports an idle upstream. */
  AlwaysIdle = 'always-idle',
  /** Always reports a full upstream. */
  AlwaysFull = 'always-full',
  /** Reports nothing. */
  None = 'nothing'
}
