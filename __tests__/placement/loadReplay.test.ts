import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ModelDay } from '../../__performance_tests__/placement/ModelDay.js'
import { modelPatterns } from '../../__performance_tests__/placement/modelPatterns.js'
import { modelSites } from '../../__performance_tests__/placement/modelSites.js'

/** Minimum fraction of the credit that guests should get on the users' days of load. */
const MINIMUM_CREDIT = 0.6
/** Time in which each object has run once on each of its upstreams. */
const WARM_UP_SECONDS = 8
/** Minimum fraction of the credit of a full second once all objects are warm. */
const MINIMUM_WARM_CREDIT = 0.85

for (const site of modelSites) {
  for (const { name, settings } of modelPatterns) {
    test(`${site.name}, ${name}: guests get at least the target credit`, async () => {
      const result = await new ModelDay({ ...settings, site, seed: 1 }).simulate()
      assert.ok(result.creditRatio >= MINIMUM_CREDIT, `${result.creditRatio}`)
    })
  }

  for (const { name, settings } of modelPatterns.slice(0, 2)) {
    test(`${site.name}, ${name}: a load that cold upstreams cannot carry becomes warm and stays warm`, async () => {
      const result = await new ModelDay({ ...settings, site, seed: 2 }).simulate()
      const seconds = result.listCreditRatiosBySecond().slice(WARM_UP_SECONDS, settings.durationSeconds - 1)
      const mean = seconds.reduce((sum, credit) => sum + credit, 0) / seconds.length
      assert.ok(mean >= MINIMUM_WARM_CREDIT, `${mean} after ${WARM_UP_SECONDS} s`)
    })
  }
}
