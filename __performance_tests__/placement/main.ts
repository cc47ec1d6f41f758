import { ModelDay, type ModelDaySettings } from './ModelDay.js'
import { modelSites } from './modelSites.js'

/** Load of the users' worst days, as a multiple of the quiet day's. */
const HIGH_LOAD = 1.37
const SEEDS = Number(process.argv[2] ?? 2)

const onlyPattern = process.argv[3]
const patterns: Array<{ name: string, settings: Omit<ModelDaySettings, 'site' | 'seed'> }> = [
  { name: 'quiet', settings: { load: 1, seconds: 16 } },
  { name: 'high load', settings: { load: HIGH_LOAD, seconds: 20 } },
  { name: 'burst', settings: { load: 1.85, seconds: 16 } },
  { name: 'high load, sheds', settings: { load: HIGH_LOAD, seconds: 16, shed: { from: 6, to: 12, part: 0.55 } } },
  { name: 'high load, hosts killed', settings: { load: HIGH_LOAD, seconds: 16, killAt: 6 } }
]

const percent = (part: number): string => `${Math.round(part * 100)}%`.padStart(5)

for (const site of modelSites) {
  for (const { name, settings } of patterns) {
    if (onlyPattern !== undefined && !name.includes(onlyPattern)) continue
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const result = await new ModelDay({ ...settings, site, seed }).play()
      const seconds = result.listSeconds().map((credit) => Math.round(credit * 100)).join(' ')
      console.log(`${site.name.padEnd(12)} ${name.padEnd(24)} credit ${percent(result.credit)} served ${percent(result.served)} refused ${percent(result.refused)} warm ${percent(result.warm)} elsewhere ${percent(result.elsewhere)} worst domain ${percent(result.worstDomain)} by second ${seconds}`)
    }
  }
}
process.exit(0)
