import { writeFileSync } from 'node:fs'
import { defineCommand, runMain } from 'citty'
import { ModelDay } from './ModelDay.js'
import { modelPatterns } from './modelPatterns.js'
import { modelSites } from './modelSites.js'
import { renderPage, type PageRow } from './renderPage.js'

const formatPercent = (fraction: number): string => `${Math.round(fraction * 100)}%`.padStart(5)

const command = defineCommand({
  meta: { name: 'model', description: 'Simulates load patterns with the entry relay, its admission and placement, in one process' },
  args: {
    seeds: { type: 'string', default: '3', description: 'number of simulated days of each pattern, one for each seed' },
    pattern: { type: 'string', default: '', description: 'simulates only patterns whose name contains this text' },
    page: { type: 'string', default: 'build/model.html', description: 'file for the page with plots' }
  },
  run: async ({ args }) => {
    const rows: PageRow[] = []
    console.log('site         pattern                  seed credit served refused warm  elsewhere worst domain')
    for (const site of modelSites) {
      for (const { name, settings } of modelPatterns.filter((pattern) => pattern.name.includes(args.pattern))) {
        for (let seed = 1; seed <= Number(args.seeds); seed += 1) {
          const result = await new ModelDay({ ...settings, site, seed }).simulate()
          rows.push({ site: site.name, pattern: name, seed, creditRatios: result.listCreditRatiosBySecond() })
          console.log(`${site.name.padEnd(12)} ${name.padEnd(24)} ${String(seed).padStart(4)} ${formatPercent(result.creditRatio)}  ${formatPercent(result.servedRatio)}  ${formatPercent(result.refusedRatio)}  ${formatPercent(result.warmRatio)} ${formatPercent(result.otherRegionRatio)}     ${formatPercent(result.worstDomainCreditRatio)}`)
        }
      }
    }
    writeFileSync(args.page, renderPage(rows))
    console.log(`plots: ${args.page}`)
    process.exit(0)
  }
})

await runMain(command)
