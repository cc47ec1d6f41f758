/** Names of the counters and gauges of sheet spreading. */
export enum SpreadCounter {
  Applied = 'spread.applied',
  NotNewer = 'spread.refused.not-newer',
  DigestMismatch = 'spread.refused.digest-mismatch',
  WatchFull = 'spread.refused.watch-full',
  WatchRetried = 'spread.retried.watch',
  FetchRetried = 'spread.retried.fetch',
  DeltaFetched = 'spread.delta-fetched',
  FullWithoutBase = 'spread.whole.without-base',
  FullForUnknownBase = 'spread.whole.unknown-base',
  FullForDeltaMismatch = 'spread.whole.delta-mismatch',
  CompareFailed = 'spread.compare-failed',
  StoreFailed = 'spread.store-failed',
  ReadyWithoutReplicas = 'spread.ready-without-replicas',
  Revision = 'spread.revision'
}
