import { choosePool } from '../../src/steering/choosePool.js'
import type { PlaceShare } from '../../src/steering/PlaceShare.js'
import { PoolView } from '../../src/steering/PoolView.js'
import type { PoolViewSettings } from '../../src/steering/PoolViewSettings.js'
import { createModelCandidates } from './createModelCandidates.js'
import type { ModelChooser, QueueModel } from './QueueModel.js'

const NO_EXCLUDED_OWNERS: ReadonlySet<string> = new Set()

/** Settings of the choice under test, with faults to inject into its reports. */
export interface ViewChooserSettings {
  viewSettings: Partial<PoolViewSettings>
  gossipIntervalMilliseconds: number
  gossipDelayMilliseconds: number
  /** Whether answers carry reports. */
  hasAnswerReports: boolean
  /** Index of a pool whose owner always reports all slots as free. */
  misreportingPool?: number
  /** Place shares of a failure domain. */
  getShares: (domain: number) => PlaceShare[]
}

/** A chooser with the pool views of its hosts, by host index. */
export interface ViewChooser extends ModelChooser {
  views: PoolView[]
}

/** Creates the pool choice of hibiscusrelay: each host has its own view, updated by answers and gossip. */
export function createViewChooser (model: QueueModel, settings: ViewChooserSettings): ViewChooser {
  const candidates = createModelCandidates()
  const views = model.hosts.map(({ domain }) => new PoolView(candidates[domain]!, settings.viewSettings))
  startGossip(model, views, settings)
  return {
    views,
    choose: (host, fullPools) => {
      const from = candidates[host.domain]!
      const shares = settings.getShares(host.domain)
      const fullOwners = new Set([...fullPools].map((pool) => candidates[pool]!.owner))
      const { pool, mayWait } = choosePool({ from, shares, candidates, excluded: NO_EXCLUDED_OWNERS, full: fullOwners, view: views[host.index]!, random: model.random })!
      return { pool: candidates.indexOf(pool), mayWait }
    },
    recordSent: (host, pool) => views[host.index]!.recordSent(candidates[pool]!),
    recordEnd: (host, pool, sentAt, report) => {
      if (settings.hasAnswerReports) views[host.index]!.recordAnswer(candidates[pool]!, sentAt, { ...report, freeSlots: getReportedFreeSlots(settings, pool, report) })
      else views[host.index]!.recordEnd(candidates[pool]!, sentAt)
    }
  }
}

function startGossip (model: QueueModel, views: PoolView[], settings: ViewChooserSettings): void {
  const candidates = createModelCandidates()
  const sendGossip = () => {
    const reports = model.pools.map(({ freeSlots, slots }, pool) => ({ freeSlots: getReportedFreeSlots(settings, pool, { freeSlots, slots }), slots }))
    model.events.schedule(settings.gossipDelayMilliseconds, () => {
      for (const view of views) reports.forEach((report, pool) => view.recordReport(candidates[pool]!, report, settings.gossipDelayMilliseconds))
    })
    if (model.isRunning) model.events.schedule(settings.gossipIntervalMilliseconds, sendGossip)
  }
  sendGossip()
}

function getReportedFreeSlots (settings: ViewChooserSettings, pool: number, report: { freeSlots: number, slots: number }): number {
  return settings.misreportingPool === pool ? report.slots : report.freeSlots
}
