import assert from 'node:assert/strict'
import { mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { composeHostSettings, EXAMPLE_DEPLOYMENTS } from '../../examples/composeHostSettings.js'
import { loadSettings, parseSheet, type Settings } from '../../src/hibiscusrelay.js'

const PEER_KEY = 'an example key of forty-one characters...'
const OPERATORS = 'planner:0123456789abcdef\n'

/** Loads the committed settings of a deployment from a temporary copy with secrets of the test. */
function loadDeploymentSettings (folder: string): Settings[] {
  const copy = mkdtempSync(join(tmpdir(), 'settings-'))
  try {
    for (const name of ['hosts', 'secrets']) mkdirSync(join(copy, name))
    writeFileSync(join(copy, 'secrets', 'peer.key'), PEER_KEY)
    writeFileSync(join(copy, 'secrets', 'operators'), OPERATORS)
    return readdirSync(join('examples', folder, 'hosts')).map((name) => {
      writeFileSync(join(copy, 'hosts', name), readFileSync(join('examples', folder, 'hosts', name)))
      return loadSettings(join(copy, 'hosts', name))
    })
  } finally {
    rmSync(copy, { recursive: true })
  }
}

for (const deployment of EXAMPLE_DEPLOYMENTS) {
  test(`committed host settings of ${deployment.folder} equal those that the generator writes`, () => {
    const files = composeHostSettings(deployment)
    assert.deepEqual(readdirSync(join('examples', deployment.folder, 'hosts')).toSorted(), files.map(({ name }) => `${name}.ini`).toSorted())
    for (const { name, text } of files) assert.equal(readFileSync(join('examples', deployment.folder, 'hosts', `${name}.ini`), 'utf8'), text)
  })

  test(`host settings of ${deployment.folder} load, and are consistent with one another and with the sheet`, () => {
    const settingsOfHosts = loadDeploymentSettings(deployment.folder)
    const { sheet } = parseSheet(readFileSync(join('examples', deployment.folder, 'sheet-1.csv')))
    assert.equal(settingsOfHosts.length, 16)
    for (const settings of settingsOfHosts) {
      assert.equal(settings.peers.length, 15)
      assert.equal(settings.peers.filter(({ replica }) => replica).length + (settings.dataFolder === undefined ? 0 : 1), 5)
      const place = [...sheet!.places.values()].find(({ failureDomain }) => failureDomain === settings.host.domain)
      assert.equal(place?.region, settings.host.region)
      for (const peer of settings.peers) assert.equal(settingsOfHosts.find(({ host }) => host.name === peer.name)?.host.peerAddress, peer.peerAddress)
    }
    const replicaRegions = settingsOfHosts.filter(({ dataFolder }) => dataFolder !== undefined).map(({ host }) => host.region)
    const counts = [...new Set(replicaRegions)].map((region) => replicaRegions.filter((name) => name === region).length)
    assert.deepEqual(counts.toSorted(), [1, 2, 2])
  })
}
