/** Steps of processing that errors and log lines name. */
export enum Step {
  Settings = 'settings',
  Listen = 'listen',
  PeerCall = 'peer-call',
  Announce = 'announce',
  Ingress = 'ingress',
  Claim = 'claim',
  Dispatch = 'dispatch',
  Answer = 'answer',
  Storage = 'storage',
  Election = 'election',
  Snapshot = 'snapshot',
  Reconfigure = 'reconfigure',
  SheetSubmit = 'sheet-submit',
  PlanSubmit = 'plan-submit',
  Registry = 'registry',
  Follow = 'follow',
  Place = 'place',
  Spread = 'spread',
  Probe = 'probe',
  Lease = 'lease',
  Stop = 'stop'
}
