import { choosePool } from '../../src/steering/choosePool.js'
import type { PlaceShare } from '../../src/steering/PlaceShare.js'
import { PoolView } from '../../src/steering/PoolView.js'
import type { PoolViewSettings } from '../../src/steering/PoolViewSettings.js'
import { modelCandidates } from './modelCandidates.js'
import type { ModelChooser, QueueModel } from './QueueModel.js'

const NONE: ReadonlySet<string> = new Set()

/** How the choice under test is set up, and what is wrong with its measurements. */
export interface ViewChooserSettings {
  view: Partial<PoolViewSettings>
  gossipMilliseconds: number
  gossipDelayMilliseconds: number
  /** Whether answers carry reports. */
  answersReport: boolean
  /** Pool whose owner always reports all slots free. */
  lyingPool?: number
  sharesOf: (domain: number) => PlaceShare[]
}

/** A chooser with the views of its hosts. */
export interface ViewChooser extends ModelChooser {
  views: PoolView[]
}

/** The product's choice: each host has its own view, fed by answers and gossip. */
export function viewChooser (model: QueueModel, settings: ViewChooserSettings): ViewChooser {
  const candidates = modelCandidates()
  const views = model.hosts.map(({ domain }) => new PoolView(candidates[domain]!, settings.view))
  startGossip(model, views, settings)
  return {
    views,
    choose: (host, full) => {
      const from = candidates[host.domain]!
      const shares = settings.sharesOf(host.domain)
      const fullOwners = new Set([...full].map((pool) => candidates[pool]!.owner))
      const { pool, mayWait } = choosePool({ from, shares, candidates, excluded: NONE, full: fullOwners, view: views[host.index]!, random: model.random })!
      return { pool: candidates.indexOf(pool), mayWait }
    },
    sent: (host, pool) => views[host.index]!.recordSent(candidates[pool]!),
    ended: (host, pool, sentAt, report) => {
      if (settings.answersReport) views[host.index]!.recordAnswer(candidates[pool]!, sentAt, { ...report, freeSlots: reported(settings, pool, report) })
      else views[host.index]!.recordEnd(candidates[pool]!, sentAt)
    }
  }
}

function startGossip (model: QueueModel, views: PoolView[], settings: ViewChooserSettings): void {
  const candidates = modelCandidates()
  const gossip = () => {
    const reports = model.pools.map(({ freeSlots, slots }, pool) => ({ freeSlots: reported(settings, pool, { freeSlots, slots }), slots }))
    model.events.after(settings.gossipDelayMilliseconds, () => {
      for (const view of views) reports.forEach((report, pool) => view.recordReport(candidates[pool]!, report, settings.gossipDelayMilliseconds))
    })
    if (model.isRunning) model.events.after(settings.gossipMilliseconds, gossip)
  }
  gossip()
}

function reported (settings: ViewChooserSettings, pool: number, report: { freeSlots: number, slots: number }): number {
  return settings.lyingPool === pool ? report.slots : report.freeSlots
}
