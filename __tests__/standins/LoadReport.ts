/** Load that a stand-in upstream reports in its announcements. */
export enum LoadReport {
  /** Reports the actual load. */
  Actual = 'truth',
  /** Always reports an idle upstream. */
  AlwaysIdle = 'always-idle',
  /** Always reports a full upstream. */
  AlwaysFull = 'always-full',
  /** Reports no load. */
  None = 'nothing'
}
