/**
 * Queue model of the choice between pools, with Poisson arrivals, exponential service times of 20 ms on average and 80% load.
 * Run: `node build/__performance_tests__/placeChoice.js`
 */
import { pathToFileURL } from 'node:url'
import { measureDeploymentChoices } from './support/measureDeploymentChoices.js'
import { measureViews } from './support/measureViews.js'

const SEED = 20261204

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
  console.log(`seed ${SEED}, node ${process.version}; milliseconds`)
  for (const line of measureViews(SEED)) console.log(line)
  for (const line of measureDeploymentChoices(SEED)) console.log(line)
}
