/**
 * Writes the settings files of all hosts of the example deployments.
 * Run: `node build/examples/generateHostSettings.js`
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { composeHostSettings, EXAMPLE_DEPLOYMENTS } from './composeHostSettings.js'

for (const deployment of EXAMPLE_DEPLOYMENTS) {
  const folder = join('examples', deployment.folder, 'hosts')
  mkdirSync(folder, { recursive: true })
  for (const { name, text } of composeHostSettings(deployment)) writeFileSync(join(folder, `${name}.ini`), text)
}
