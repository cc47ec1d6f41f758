/** JSON-RPC 2.0 method names of the calls between hosts. */
export enum PeerMethod {
  Heartbeat = 'membership.heartbeat',
  Probe = 'membership.probe',
  IndirectProbe = 'membership.indirect-probe',
  ExchangeDomains = 'membership.exchange-domains',
  RequestVote = 'agreement.request-vote',
  HandOver = 'agreement.hand-over',
  AppendEntries = 'agreement.append-entries',
  InstallSnapshot = 'agreement.install-snapshot',
  Propose = 'agreement.propose',
  Reconfigure = 'agreement.reconfigure',
  ReplicaStatus = 'agreement.status',
  FetchSheet = 'sheet.fetch',
  SheetRevision = 'sheet.revision',
  LedgerClaim = 'ledger.claim',
  LedgerUpdate = 'ledger.update',
  LedgerRead = 'ledger.read',
  LedgerRecover = 'ledger.recover',
  LedgerSeal = 'ledger.seal',
  LeaseRequest = 'limits.lease-request',
  LeaseReturn = 'limits.lease-return',
  PoisonReport = 'relay.poison-report',
  SuspectPermit = 'relay.suspect-permit',
  LedgerOpen = 'ledger.open',
  LeasePromise = 'limits.lease-promise',
  Follow = 'control.follow',
  /** Asks whether a control host has the newest plan. */
  AskCurrency = 'control.ask-currency',
  /** Reports requests under which upstreams ended. */
  ReportCrashes = 'control.report-crashes',
  /** Reports requests under which upstreams ended, and waits until a control host has stored them. */
  SaveCrashes = 'control.save-crashes',
  ShareRegistry = 'control.share-registry',
  FetchRegistry = 'control.fetch-registry',
  /** Takes tokens for requests of client accounts. */
  TakeQuota = 'quota.take'
}
